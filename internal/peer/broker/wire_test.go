package broker

import (
	"reflect"
	"testing"

	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
)

func typicalRunRequest(digests int) cell.RunRequest {
	runReq := cell.RunRequest{
		ID: "01JABCDEFGHJKMNPQRSTVWXYZ0~1234", Entry: "vm-1", Team: "coop-swift-current", Class: "shift-summary",
		Tier: 1, Weight: 2, PromptTokens: 64 * digests, Waited: 3, Target: 2500, MaxWait: 10_000, Repeatable: true,
	}
	for i := range digests {
		runReq.Digests = append(runReq.Digests, uint64(i+1)*0x9e3779b97f4a7c15)
	}
	return runReq
}

func encodedSize(t *testing.T, v any) int {
	t.Helper()
	encoded, err := frame.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

func TestBytesOfARequest(t *testing.T) {
	key := CellKey{Backend: "prairie", Region: region}
	runReq := typicalRunRequest(4)
	sum := 0
	for name, e := range map[string]entryEvent{
		"Ask":      {Kind: eventRunRequest, Ask: packRunRequest(runReq)},
		"Progress": {Kind: eventProgress, ID: runReq.ID, Tokens: 4},
		"Release":  {Kind: eventRelease, ID: runReq.ID, Tokens: 4, Outcome: packOutcome(cell.Outcome{PromptTokens: 250, OutputTokens: 100, TimeToFirstToken: 200})},
	} {
		n := encodedSize(t, e)
		t.Logf("%s takes %d bytes", name, n)
		sum += n
	}
	action := cell.Action{Kind: cell.Grant, ID: runReq.ID, Endpoint: "prairie-domain-1-0", Priority: 1}
	n := encodedSize(t, packAction(key, action, entity.Endpoint{Address: "10.0.0.1:8000", Incarnation: "3"}))
	t.Logf("Grant takes %d bytes; each further digest %d", n, (encodedSize(t, packRunRequest(typicalRunRequest(20)))-encodedSize(t, packRunRequest(runReq)))/16)
	if sum+n > 600 {
		t.Errorf("a request takes %d bytes with one Progress, want at most 600", sum+n)
	}
}

func TestMessageRoundTrip(t *testing.T) {
	runReq := typicalRunRequest(2)
	runReq.Exclude, runReq.Resumed, runReq.Preemptions, runReq.RefuseEarly = []string{"e1"}, true, 1, true
	outcome := cell.Outcome{Failed: true, PromptTokens: 5, OutputTokens: 6, TimeToFirstToken: 7}
	sent := eventsMessage{Session: 1, Number: 2, Address: "127.0.0.1:1", Batches: []cellBatch{{
		Cell: onlyCell, Epoch: 9, Announce: true, Waiting: []wireRunRequest{*packRunRequest(runReq)},
		Running: []wireRunning{packRunning(cell.Running{RunRequest: runReq, Endpoint: "e2", Tokens: 3, Elapsed: 4})},
		Events:  []entryEvent{{Kind: eventRelease, ID: "r", Tokens: 2, Outcome: packOutcome(outcome)}},
	}}}
	encoded, err := frame.Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got eventsMessage
	if err := frame.Decode(encoded, &got); err != nil {
		t.Fatal(err)
	}
	b := got.Batches[0]
	if unpacked := b.Waiting[0].unpack("vm-1"); !reflect.DeepEqual(unpacked, runReq) {
		t.Errorf("got run request %+v after the round trip", unpacked)
	}
	if running := b.Running[0].unpack("vm-1"); running.Endpoint != "e2" || running.Tokens != 3 || running.Elapsed != 4 {
		t.Errorf("got running %+v after the round trip", running)
	}
	if unpacked := b.Events[0].Outcome.unpack(); unpacked != outcome {
		t.Errorf("got outcome %+v after the round trip", unpacked)
	}
	refuse := cell.Action{Kind: cell.Refuse, Entry: "vm-1", ID: "r", Code: request.CodeOverloaded, RetryAfter: 1500}
	packed := packAction(onlyCell, refuse, entity.Endpoint{})
	if unpacked := packed.unpack("vm-1"); unpacked != refuse {
		t.Errorf("got action %+v after the round trip", unpacked)
	}
}
