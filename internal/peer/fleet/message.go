package fleet

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/fanout"
	"github.com/banyanshift/banyanshift/internal/peer/permit"
	"github.com/banyanshift/banyanshift/internal/peer/topology"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// ping asks a peer which versions it holds. The ages in the answer refer to a
// time after the ping was sent, so the sender can subtract them from the time
// of sending without overestimating how recent a version is.
type ping struct {
	VM topology.VM
	// Subscribe is set if the sender follows the receiver, on behalf of Daemons
	// daemons.
	Subscribe bool
	Daemons   int
	// WantList asks for the known VMs.
	WantList bool
	// Fence is the highest fence of the lease that the sender knows.
	Fence uint64
}

// pong answers a ping. Its ages are relative to the time at which it is sent.
type pong struct {
	VM     topology.VM
	Status topology.Status
	// Upstream is the VM that the peer follows, nil for a root.
	Upstream *topology.VM
	// VMs lists the known VMs if the ping asked for them.
	VMs []topology.VM
	// Wall is the peer's time of day.
	Wall clock.Millis
	// Fence is the highest fence of the lease that the peer knows.
	Fence uint64
	// Document is the held configuration; its Version is 0 if there is none.
	Document documentState
	// ListKnown is set if the peer has a list of endpoints. ListPosition is the
	// position of the store at which it was read, ListDigest the digest of its
	// content, and ListAge the time since it was confirmed.
	ListKnown    bool
	ListPosition table.Position
	ListDigest   uint64
	ListAge      clock.Millis
	// Crashes is the fingerprint of the crashes that the peer knows. It is nil if the peer
	// does not exchange them.
	Crashes *uint64
	// Build is the commit that the peer was built from, empty if it does not say so.
	Build string
	// Drains is what the peer knows of drained failure domains. It is nil if the peer is of a
	// release that does not tell.
	Drains *drainState
}

// documentState is the configuration that a daemon holds. Age is the time since the
// store, in the era Era, was last known to hold it. Source is the ID of the daemon that the store
// answered then, empty if a peer is of a release that does not tell.
type documentState struct {
	document.Identity
	Era    uint64
	Age    clock.Millis
	Source string
}

func newDocumentState(identity document.Identity, confirmed document.Reading, now clock.Millis) documentState {
	return documentState{Identity: identity, Era: confirmed.Era, Age: now - confirmed.AsOf, Source: confirmed.Source}
}

// reading returns the reading that confirmed the configuration, for an answer to a call
// that was sent at a time.
func (s documentState) reading(sentAt clock.Millis) document.Reading {
	return document.Reading{Era: s.Era, AsOf: sentAt - s.Age, Source: s.Source}
}

// report is what happened at a daemon since its last report. First and Ended list
// job IDs. Reports are encoded as arrays, since they make up most of the traffic
// between daemons.
type report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Sent  []sentJob
	First []uint64
	Ended []uint64
	// Usage does not go to subscribers, since only roots bill usage.
	Usage []teamCount
	// Seals does not go to subscribers either.
	Seals []tally.Seal
	// Leaving lists the endpoints that reported in an answer that they are leaving.
	Leaving []leavingEndpoint
	// Terms lists the terms of endpoints that have changed.
	Terms []permit.Terms
	// firstTimes holds for each element of First the time from sending to the first token. It
	// is sent beside the report, see reports.
	firstTimes []clock.Millis
}

func (r *report) empty() bool {
	return len(r.Sent) == 0 && len(r.First) == 0 && len(r.Ended) == 0 && len(r.Usage) == 0 && len(r.Seals) == 0 && len(r.Leaving) == 0 && len(r.Terms) == 0
}

// leavingEndpoint is an incarnation of an endpoint that is leaving.
type leavingEndpoint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID          string
	Incarnation int64
}

// sentJob is a balance.Job that was sent to an endpoint, Age before this message.
type sentJob struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID       uint64
	Endpoint string
	// Hashes and Tokens hold one element for each part of the prompt.
	Hashes   []uint64
	Tokens   []int
	Uncached int
	Output   int
	Priority int
	Expected clock.Millis
	Age      clock.Millis
}

func newSentJob(job balance.Job, age clock.Millis) sentJob {
	sent := sentJob{
		ID: job.ID, Endpoint: job.Endpoint, Uncached: job.Uncached, Output: job.Output,
		Priority: job.Priority, Expected: job.Expected, Age: age,
	}
	for _, part := range job.Parts {
		sent.Hashes = append(sent.Hashes, part.Hash)
		sent.Tokens = append(sent.Tokens, part.Tokens)
	}
	return sent
}

// job returns the job. Hashes without tokens are left out.
func (s sentJob) job() balance.Job {
	job := balance.Job{ID: s.ID, Endpoint: s.Endpoint, Uncached: s.Uncached, Output: s.Output, Priority: s.Priority, Expected: s.Expected}
	for i, hash := range s.Hashes[:min(len(s.Hashes), len(s.Tokens))] {
		job.Parts = append(job.Parts, balance.PromptPart{Hash: hash, Tokens: s.Tokens[i]})
	}
	return job
}

// teamCount is a tally.TeamCount of the daemon that made the report.
type teamCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Window int64
	Team   string
	Count  int64
}

func newTeamCounts(counts []tally.TeamCount) (encoded []teamCount) {
	for _, count := range counts {
		encoded = append(encoded, teamCount{Window: count.Window, Team: count.Team, Count: count.Count})
	}
	return encoded
}

// countsOf returns the counts of the daemon named source.
func countsOf(source string, encoded []teamCount) (counts []tally.TeamCount) {
	for _, count := range encoded {
		counts = append(counts, tally.TeamCount{Window: count.Window, Source: source, Team: count.Team, Count: count.Count})
	}
	return counts
}

// reports carries the reports of one or more daemons through the tree.
type reports struct {
	Direction fanout.Direction
	Items     []fanout.Item[report]
	// FirstTimes holds the firstTimes of each item. It is empty if the sender is of a release
	// that does not tell them.
	FirstTimes [][]clock.Millis
}

// newReports returns the message with a number of items.
func newReports(direction fanout.Direction, items []fanout.Item[report]) reports {
	r := reports{Direction: direction, Items: items}
	for _, item := range items {
		r.FirstTimes = append(r.FirstTimes, item.Report.firstTimes)
	}
	return r
}

// items returns the items with their firstTimes.
func (r reports) items() []fanout.Item[report] {
	for i, times := range r.FirstTimes[:min(len(r.FirstTimes), len(r.Items))] {
		if len(times) == len(r.Items[i].Report.First) {
			r.Items[i].Report.firstTimes = times
		}
	}
	return r.Items
}

// endpointChanges carries the entries of the sender's list of endpoints that
// changed, and the IDs of those that were removed.
type endpointChanges struct {
	Changed  []roster.Endpoint
	Removed  []string
	Position table.Position
}

// news tells that the sender, at Address, has a newer configuration.
type news struct {
	Address string
}

// documentRequest asks for the configuration.
type documentRequest struct{}

// documentAnswer holds the encoded configuration, empty if there is none.
type documentAnswer struct {
	Raw   []byte
	State documentState
}

// endpointsRequest asks for the list of endpoints.
type endpointsRequest struct{}

// endpointsAnswer is the list of endpoints, if Known.
type endpointsAnswer struct {
	Known     bool
	Endpoints []roster.Endpoint
	Position  table.Position
	Age       clock.Millis
}

// usageRequest asks for all usage counts from the window First onward.
type usageRequest struct {
	First int64
}

// usageAnswer holds the usage counts and seals that a daemon knows.
type usageAnswer struct {
	Sheets []tally.WindowSnapshot
	Seals  []tally.Seal
}

// startedStream is an origin.Stream that a daemon has begun, Age before this message.
type startedStream struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID              uint64
	SoftwareVersion string
	Age             clock.Millis
}

// startedStreams tells of streams that endpoints have begun.
type startedStreams struct {
	Items []startedStream
	// PassOn is set if a root is to tell the root of the next failure domain.
	PassOn bool
}

// originRequest asks which software version began the stream ID. A root asks the other
// roots if AskRoots is set.
type originRequest struct {
	ID       uint64
	AskRoots bool
	// Backend is that of the stream. A daemon of an older release does not name it.
	Backend string
}

// originAnswer holds the software version, if it is known.
type originAnswer struct {
	Known           bool
	SoftwareVersion string
	// Sole is the only version that the back end has had, as a daemon that follows the store
	// knows since it was asked. It is nil if there were several, or may have been.
	Sole *string
}
