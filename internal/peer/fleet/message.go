package fleet

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// ping asks a peer what it knows. Its answer tells of no earlier time than that
// at which the ping was sent, which makes the ages in it usable.
type ping struct {
	ID      string
	Address string
	// Peers is how many other daemons the sender knows.
	Peers int
}

// pong answers a ping. Ages are counted back from when it was sent.
type pong struct {
	ID string
	// Version is the configuration's, 0 when none is known, and VersionAge
	// how long ago it was known to be the newest.
	Version    int64
	VersionAge clock.Millis
	// ListRevision is that of the list of endpoints, 0 when none is known,
	// ListDigest the digest of its content, and ListAge how long ago it was
	// known to be right.
	ListRevision uint64
	ListDigest   uint64
	ListAge      clock.Millis
	// Peers names the known daemons if their number is another than that in
	// the ping.
	Peers []vm
}

// vm is where a daemon can be reached. It is also the value of its row.
type vm struct {
	ID      string
	Address string
}

// news tells the peers what happened since the last one.
type news struct {
	Sent    []sentJob
	First   []uint64
	Ended   []uint64
	Leaving []string
	Gone    []string
	Usage   []tally.TeamCount
}

func (n *news) empty() bool {
	return len(n.Sent) == 0 && len(n.First) == 0 && len(n.Ended) == 0 && len(n.Leaving) == 0 && len(n.Gone) == 0 && len(n.Usage) == 0
}

// sentJob is a request that was sent to an endpoint Age ago.
type sentJob struct {
	Job balance.Job
	Age clock.Millis
}

// documentRequest asks for the configuration if it is newer than Version.
type documentRequest struct {
	Version int64
}

// documentAnswer has the bytes of the configuration.
type documentAnswer struct {
	Raw []byte
	Age clock.Millis
}

// endpointsRequest asks for the list of endpoints.
type endpointsRequest struct{}

// endpointsAnswer is the list of endpoints.
type endpointsAnswer struct {
	Endpoints []roster.Endpoint
	Revision  uint64
	Age       clock.Millis
}

// usageRequest asks for all counts from a window on.
type usageRequest struct {
	First int64
}

// usageAnswer has the counts that a daemon knows.
type usageAnswer struct {
	Sheets []tally.WindowSnapshot
}
