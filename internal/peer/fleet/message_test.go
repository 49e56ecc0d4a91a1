package fleet

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/peer/fanout"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// maxJobBytes is the target of docs/design/fleet.md for what a subscriber receives of
// one job, from its start to its end.
const maxJobBytes = 128

func TestReportOfAJobIsSmall(t *testing.T) {
	job := balance.Job{
		ID: 1<<63 + 7, Endpoint: "i-7f3a91c2",
		Parts:    []balance.PromptPart{{Hash: 1 << 62, Tokens: 13300}, {Hash: 1<<62 + 1, Tokens: 3780}, {Hash: 1<<62 + 2, Tokens: 2890}},
		Uncached: 2890, Output: 520, Priority: 2, Expected: 1340,
	}
	sent := report{Sent: []sentJob{newSentJob(job, 40)}, First: []uint64{job.ID}, Ended: []uint64{job.ID}, Usage: []teamCount{{Window: 353445120, Team: "hule930", Count: 412}}}
	down := withoutUsage([]fanout.Item[report]{{Report: sent}})
	encoded, err := msgpack.Marshal(down[0].Report)
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > maxJobBytes {
		t.Errorf("%d bytes, want at most %d", len(encoded), maxJobBytes)
	}
	if encoded, err = msgpack.Marshal(sent); err != nil {
		t.Fatal(err)
	}
	var decoded report
	if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if got := decoded.Sent[0].job(); !reflect.DeepEqual(got, job) {
		t.Errorf("got %+v, want %+v", got, job)
	}
	want := tally.TeamCount{Window: 353445120, Source: "vm-1.5f21", Team: "hule930", Count: 412}
	if got := countsOf("vm-1.5f21", decoded.Usage); got[0] != want {
		t.Errorf("got %+v, want %+v", got[0], want)
	}
}
