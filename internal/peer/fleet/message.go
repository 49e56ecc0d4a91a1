package fleet

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// ping asks a peer which versions it holds. The ages in the answer refer to a
// time after the ping was sent, so the sender can subtract them from the time
// of sending without overestimating how recent a version is.
type ping struct {
	ID      string
	Address string
	// Peers is the number of other daemons that the sender knows.
	Peers int
}

// pong answers a ping. Its ages are relative to the time at which it is sent.
type pong struct {
	ID string
	// Version is the version of the held configuration, 0 if there is none,
	// and VersionAge the time since it was confirmed to be the newest.
	Version    int64
	VersionAge clock.Millis
	// ListRevision is the revision of the list of endpoints, 0 if there is
	// none, ListDigest the digest of its content, and ListAge the time since
	// it was confirmed.
	ListRevision uint64
	ListDigest   uint64
	ListAge      clock.Millis
	// Peers lists the known daemons if their number differs from the number
	// in the ping.
	Peers []vm
}

// vm is a daemon and its address. It is also the value of a row of the table.
type vm struct {
	ID      string
	Address string
}

// update reports to peers what happened at the sender since its last update.
// First and Ended list job IDs, Leaving and Gone endpoint IDs.
type update struct {
	Sent    []sentJob
	First   []uint64
	Ended   []uint64
	Leaving []string
	Gone    []string
	Usage   []tally.TeamCount
}

func (u *update) empty() bool {
	return len(u.Sent) == 0 && len(u.First) == 0 && len(u.Ended) == 0 && len(u.Leaving) == 0 && len(u.Gone) == 0 && len(u.Usage) == 0
}

// sentJob is a job that was sent to an endpoint, Age before this message.
type sentJob struct {
	Job balance.Job
	Age clock.Millis
}

// documentRequest asks for the configuration if it is newer than Version.
type documentRequest struct {
	Version int64
}

// documentAnswer holds the encoded configuration, empty if there is no newer one.
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

// usageRequest asks for all usage counts from the window First onward.
type usageRequest struct {
	First int64
}

// usageAnswer holds the usage counts that a daemon knows.
type usageAnswer struct {
	Sheets []tally.WindowSnapshot
}
