package broker

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// eventKind is the kind of an entryEvent.
type eventKind uint8

// Events that an entry sends to a broker.
const (
	eventRunRequest eventKind = iota + 1
	eventCancel
	eventProgress
	eventRelease
	eventLeave
)

// The frequent messages are encoded as arrays without field names, since one is
// sent for each request.

// eventsMessage carries the events of an entry to the broker of some cells.
type eventsMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Session distinguishes this run of the entry from earlier ones.
	Session uint64
	// Number increases with each message of a session.
	Number uint64
	// Address is where the entry receives actions.
	Address string
	Batches []cellBatch
}

// cellBatch is the part of an eventsMessage for one cell.
type cellBatch struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Cell     CellKey
	// Epoch is the epoch of the broker's host that the entry knows, 0 for none.
	Epoch uint64
	// Announce means that Waiting and Running are all requests of the entry in
	// the cell and replace what the broker knows of it.
	Announce bool
	Waiting  []wireRunRequest
	Running  []wireRunning
	Events   []entryEvent
	// Gone means that the entry no longer uses this broker.
	Gone bool
}

// entryEvent is an event of a request or endpoint, sent by an entry.
type entryEvent struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Kind     eventKind
	ID       string
	Tokens   int
	Ask      *wireRunRequest
	Outcome  *wireOutcome
	// Incarnation is set for eventLeave, whose ID is the endpoint's.
	Incarnation string
}

// eventsReply answers an eventsMessage. Results are in the order of its
// batches.
type eventsReply struct {
	Results []batchResult
}

// batchResult is the result of one batch with the epoch of the host that
// received it.
type batchResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Epoch    uint64
	// Resync means that the batch was dropped and a full announcement is needed.
	Resync bool
}

// actionsMessage carries actions of a broker to an entry.
type actionsMessage struct {
	Actions []wireAction
}

// emptyReply acknowledges a message.
type emptyReply struct{}

// stateMessage either asks for announcements because a broker has started
// (Began), or carries the charges of teams in another cell.
type stateMessage struct {
	Cell    CellKey
	Began   bool
	Charges []teamCharge
}

// teamCharge is the cost charged to a team in a tier.
type teamCharge struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Team     string
	Tier     int
	Cost     float64
}

// wireRunRequest is the wire form of cell.RunRequest, without the entry.
type wireRunRequest struct {
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

func packRunRequest(runReq cell.RunRequest) *wireRunRequest {
	return &wireRunRequest{
		ID:           runReq.ID,
		Team:         runReq.Team,
		Class:        runReq.Class,
		Tier:         runReq.Tier,
		Weight:       runReq.Weight,
		PromptTokens: runReq.PromptTokens,
		Digests:      runReq.Digests,
		Exclude:      runReq.Exclude,
		Waited:       runReq.Waited,
		Target:       runReq.Target,
		MaxWait:      runReq.MaxWait,
		RefuseEarly:  runReq.RefuseEarly,
		Repeatable:   runReq.Repeatable,
		Resumed:      runReq.Resumed,
		Preemptions:  runReq.Preemptions,
	}
}

func (w *wireRunRequest) unpack(entry string) cell.RunRequest {
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

// wireRunning is the wire form of cell.Running.
type wireRunning struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Ask      wireRunRequest
	Endpoint string
	Tokens   int
	For      clock.Millis
}

func packRunning(r cell.Running) wireRunning {
	return wireRunning{Ask: *packRunRequest(r.RunRequest), Endpoint: r.Endpoint, Tokens: r.Tokens, For: r.Elapsed}
}

func (w *wireRunning) unpack(entry string) cell.Running {
	return cell.Running{RunRequest: w.Ask.unpack(entry), Endpoint: w.Endpoint, Tokens: w.Tokens, Elapsed: w.For}
}

// wireOutcome is the wire form of cell.Outcome.
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

// wireAction is the wire form of cell.Action. A grant also carries the
// endpoint's address and incarnation, since the entry may not know the endpoint
// yet.
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
