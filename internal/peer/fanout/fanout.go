// Package fanout passes reports of daemons on through the tree that package
// topology forms, so that each daemon sends a report once and receives the reports
// of all others in few messages.
//
// A daemon sends its own reports and those of its subscribers up to its upstream.
// The root of a failure domain sends the reports of its domain across to the roots
// of the other domains. What arrives from above, from across or from a subscriber
// goes down to the subscribers. Reports are delivered at most once by each path; a
// daemon that receives its own ignores them.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	e := fanout.New[Report]("vm-1.5f21", "sask-central-a")
//	e.Add(report)
//	fresh := e.Receive(fanout.Down, items)
//	items := e.Take(fanout.Up)
package fanout

// Direction is the way of a message through the tree.
type Direction int

// The directions, as seen by the sender.
const (
	// Up is from a subscriber to its upstream.
	Up Direction = iota
	// Across is from a root to the root of another failure domain.
	Across
	// Down is from a daemon to its subscribers.
	Down
	directionCount
)

// Item is a report of one daemon.
type Item[Report any] struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Source identifies the run of the daemon that made the report.
	Source        string
	FailureDomain string
	Report        Report
}

// Exchange holds the items that wait to be sent in each direction. It is not safe
// for concurrent use.
type Exchange[Report any] struct {
	source        string
	failureDomain string
	waiting       [directionCount][]Item[Report]
}

// New returns an empty Exchange of the daemon named source.
func New[Report any](source, failureDomain string) *Exchange[Report] {
	return &Exchange[Report]{source: source, failureDomain: failureDomain}
}

// Add adds a report of this daemon in all directions.
func (e *Exchange[Report]) Add(report Report) {
	item := Item[Report]{Source: e.source, FailureDomain: e.failureDomain, Report: report}
	for direction := range e.waiting {
		e.waiting[direction] = append(e.waiting[direction], item)
	}
}

// Receive queues the items of a message to be passed on, and returns those that are
// from other daemons.
func (e *Exchange[Report]) Receive(direction Direction, items []Item[Report]) (fresh []Item[Report]) {
	for _, item := range items {
		if item.Source == e.source {
			continue
		}
		fresh = append(fresh, item)
		e.waiting[Down] = append(e.waiting[Down], item)
		if direction != Down {
			e.waiting[Up] = append(e.waiting[Up], item)
		}
		if direction == Up && item.FailureDomain == e.failureDomain {
			e.waiting[Across] = append(e.waiting[Across], item)
		}
	}
	return fresh
}

// Take returns and removes the items that wait to be sent in a direction. It must
// be called for each direction at short intervals, also without receivers.
func (e *Exchange[Report]) Take(direction Direction) []Item[Report] {
	items := e.waiting[direction]
	e.waiting[direction] = nil
	return items
}
