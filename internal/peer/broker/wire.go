package broker

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// eventKind is the kind of an event.
type eventKind uint8

// The kinds of event that an entry tells a broker.
const (
	eventAsk eventKind = iota + 1
	eventCancel
	eventProgress
	eventRelease
	eventLeave
)

// The messages are encoded as arrays, without the names of their fields, since
// one goes out for each request.

// askMessage carries what an entry has to say to the broker of some cells.
type askMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Session tells this run of the entry from earlier ones.
	Session uint64
	// Number grows with each message of a session.
	Number uint64
	// Address is where the entry takes grants.
	Address string
	Batches []batch
}

// batch is the part of a message for one cell.
type batch struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Cell     CellKey
	// Epoch is the broker's state that the entry knows, 0 for none.
	Epoch uint64
	// Announce says that Waiting and Running are all that the entry has.
	Announce bool
	Waiting  []wireAsk
	Running  []wireRunning
	Events   []entryEvent
	// Gone says that the entry asks another broker from now on.
	Gone bool
}

// entryEvent is one thing that happened to a request at an entry.
type entryEvent struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Kind     eventKind
	ID       string
	Tokens   int
	Ask      *wireAsk
	Outcome  *wireOutcome
	// Incarnation belongs to eventLeave, whose ID is the endpoint's.
	Incarnation string
}

// askAnswer answers an askMessage, in the order of its batches.
type askAnswer struct {
	Results []batchResult
}

// batchResult says which state of the broker took a batch in.
type batchResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Epoch    uint64
	// Resync asks the entry to announce everything: the batch was dropped.
	Resync bool
}

// grantMessage carries actions from a broker to an entry.
type grantMessage struct {
	Actions []wireAction
}

// grantAnswer acknowledges a grantMessage.
type grantAnswer struct{}

// stateMessage tells the other daemons that a broker has begun, so that they
// announce what they have, or what teams were charged in another cell.
type stateMessage struct {
	Cell    CellKey
	Began   bool
	Charges []teamCharge
}

// teamCharge is what a team was charged in a tier.
type teamCharge struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Team     string
	Tier     int
	Cost     float64
}

// wireAsk is a cell.RunRequest on the wire, without its entry.
type wireAsk struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID           string
	Team         string
	Class        string
	Tier         int
	Weight       int
	PromptTokens int
	Digests      []uint64
	Exclude      []string
	Waited       clock.Millis
	Target       clock.Millis
	MaxWait      clock.Millis
	RefuseEarly  bool
	Repeatable   bool
	Resumed      bool
	Preemptions  int
}

func packAsk(ask cell.RunRequest) *wireAsk {
	return &wireAsk{
		ID:           ask.ID,
		Team:         ask.Team,
		Class:        ask.Class,
		Tier:         ask.Tier,
		Weight:       ask.Weight,
		PromptTokens: ask.PromptTokens,
		Digests:      ask.Digests,
		Exclude:      ask.Exclude,
		Waited:       ask.Waited,
		Target:       ask.Target,
		MaxWait:      ask.MaxWait,
		RefuseEarly:  ask.RefuseEarly,
		Repeatable:   ask.Repeatable,
		Resumed:      ask.Resumed,
		Preemptions:  ask.Preemptions,
	}
}

func (w *wireAsk) unpack(entry string) cell.RunRequest {
	return cell.RunRequest{
		ID:           w.ID,
		Entry:        entry,
		Team:         w.Team,
		Class:        w.Class,
		Tier:         w.Tier,
		Weight:       w.Weight,
		PromptTokens: w.PromptTokens,
		Digests:      w.Digests,
		Exclude:      w.Exclude,
		Waited:       w.Waited,
		Target:       w.Target,
		MaxWait:      w.MaxWait,
		RefuseEarly:  w.RefuseEarly,
		Repeatable:   w.Repeatable,
		Resumed:      w.Resumed,
		Preemptions:  w.Preemptions,
	}
}

// wireRunning is a cell.Running on the wire.
type wireRunning struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Ask      wireAsk
	Endpoint string
	Tokens   int
	For      clock.Millis
}

func packRunning(r cell.Running) wireRunning {
	return wireRunning{Ask: *packAsk(r.RunRequest), Endpoint: r.Endpoint, Tokens: r.Tokens, For: r.Elapsed}
}

func (w *wireRunning) unpack(entry string) cell.Running {
	return cell.Running{RunRequest: w.Ask.unpack(entry), Endpoint: w.Endpoint, Tokens: w.Tokens, Elapsed: w.For}
}

// wireOutcome is a cell.Outcome on the wire.
type wireOutcome struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Failed       bool
	Preempted    bool
	PromptTokens int
	OutputTokens int
	FirstToken   clock.Millis
}

func packOutcome(o cell.Outcome) *wireOutcome {
	return &wireOutcome{
		Failed:       o.Failed,
		Preempted:    o.Preempted,
		PromptTokens: o.PromptTokens,
		OutputTokens: o.OutputTokens,
		FirstToken:   o.TimeToFirstToken,
	}
}

func (w *wireOutcome) unpack() cell.Outcome {
	if w == nil {
		return cell.Outcome{Preempted: true}
	}
	return cell.Outcome{
		Failed:           w.Failed,
		Preempted:        w.Preempted,
		PromptTokens:     w.PromptTokens,
		OutputTokens:     w.OutputTokens,
		TimeToFirstToken: w.FirstToken,
	}
}

// wireAction is a cell.Action on the wire, with what the entry needs to reach
// an endpoint that it has not heard of yet.
type wireAction struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Cell        CellKey
	Kind        cell.ActionKind
	ID          string
	Endpoint    string
	Address     string
	Incarnation string
	Priority    int
	Code        request.Code
	RetryAfter  clock.Millis
	Reason      cell.Reason
}

func packAction(key CellKey, action cell.Action, endpoint entity.Endpoint) wireAction {
	packed := wireAction{
		Cell:       key,
		Kind:       action.Kind,
		ID:         action.ID,
		Endpoint:   action.Endpoint,
		Priority:   action.Priority,
		Code:       action.Code,
		RetryAfter: action.RetryAfter,
		Reason:     action.Reason,
	}
	if action.Kind == cell.Grant {
		packed.Address = endpoint.Address
		packed.Incarnation = endpoint.Incarnation
	}
	return packed
}

func (w *wireAction) unpack(entry string) cell.Action {
	return cell.Action{
		Kind:       w.Kind,
		Entry:      entry,
		ID:         w.ID,
		Endpoint:   w.Endpoint,
		Priority:   w.Priority,
		Code:       w.Code,
		RetryAfter: w.RetryAfter,
		Reason:     w.Reason,
	}
}
