package relay

import (
	"errors"
	"os"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
)

// proofTime is how long an endpoint must have lived after the first event of a stream for
// the stream to count as answered.
const proofTime = 250 * clock.Millisecond

// digests returns what the request may have in common with others that crash endpoints: the
// whole of it, and the parts of its prompt without the last one, which is its own.
func (x *exchange) digests() []quarantine.Digest {
	if x.knownDigests != nil {
		return x.knownDigests
	}
	x.knownDigests = []quarantine.Digest{x.requestDigest()}
	if prompt := x.call.Prompt; prompt != nil && len(prompt.PartDigests) > 0 {
		x.knownDigests = append(x.knownDigests, prompt.PartDigests[:len(prompt.PartDigests)-1]...)
	}
	return x.knownDigests
}

// admit asks whether the request may be sent. Its digests are needed only while crashes are
// known.
func (x *exchange) admit() Admission {
	q := x.handler.config.Quarantine
	if !q.Active() {
		return Admission{Granted: true}
	}
	admission := q.Admit(x.ctx, x.digests(), x.timeLeft())
	if len(admission.Suspects) > 0 {
		x.recordSuspicion(admission)
	}
	return admission
}

// requestDigest returns a digest of what makes two requests the same: method, host, target,
// team and body.
func (x *exchange) requestDigest() quarantine.Digest {
	hash := xxhash.New()
	for _, field := range []string{x.call.Method, x.call.Host, x.call.Target, x.teamName()} {
		_, _ = hash.WriteString(field)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(x.body)
	return quarantine.Digest(hash.Sum64())
}

// recordLost records that the connection to the endpoint ended without an answer. One that
// was given up after its time limit tells nothing.
func (x *exchange) recordLost(placement Placement, err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		x.handler.config.Quarantine.RecordLost(placement, x.digests())
	}
}

// recordSound records that the request was answered.
func (x *exchange) recordSound() {
	if q := x.handler.config.Quarantine; q.Active() {
		q.RecordSound(x.digests())
	}
}
