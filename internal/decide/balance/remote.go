package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// RemoteTraffic describes the requests of the other daemons, which this daemon
// learns about late.
type RemoteTraffic struct {
	// Share is the share of all requests that other daemons send.
	Share float64
	// UpdateLag is the mean age of their updates on arrival.
	UpdateLag clock.Millis
}

// SetRemoteTraffic sets the share and the update lag of the other daemons.
func (b *Balancer) SetRemoteTraffic(remote RemoteTraffic) {
	b.remote = remote
}

// unreportedWork estimates the prefill work, in ms per endpoint, that other
// daemons have sent and whose updates have not arrived yet. It assumes that
// their traffic stays as it recently was, when prompts took a share of the endpoints' time.
func (b *Balancer) unreportedWork(share float64) float64 {
	return share * b.remote.Share * float64(b.remote.UpdateLag)
}

// tieBreak returns a pseudo-random number in [0, 1) for an endpoint and a
// request. Without it, daemons with the same view would all choose the same
// endpoint until they receive each other's updates.
func tieBreak(endpoint string, seed uint64) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(endpoint)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, seed))
	return float64(digest.Sum64()>>11) / (1 << 53)
}
