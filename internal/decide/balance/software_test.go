package balance_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// TestOnlyEndpointsOfTheSoftwareVersionAreChosen checks each way in which an endpoint is
// chosen, also if all endpoints of the version are busy, ejected or leaving.
func TestOnlyEndpointsOfTheSoftwareVersionAreChosen(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{
		{ID: "old-busy", Backend: "b", SoftwareVersion: "1", Slots: 1},
		{ID: "old-leaving", Backend: "b", SoftwareVersion: "1", Slots: 8, Leaving: true, LeavesAt: 60000},
		{ID: "new", Backend: "b", SoftwareVersion: "2", Slots: 8},
		{ID: "new-leaving", Backend: "b", SoftwareVersion: "2", Slots: 8, Leaving: true, LeavesAt: 60000},
	})
	for id := range uint64(5) {
		b.RecordLocalJob(0, balance.Job{ID: id + 1, Endpoint: "old-busy"})
		b.RecordEnd(0, id+1, balance.Failed)
	}
	request := balance.Request{Backend: "b", Started: true, Software: balance.SoftwareLimit{Limited: true, Version: "1"}}
	if choice, found := b.Choose(1, request); !found || choice.Endpoint != "old-busy" {
		t.Errorf("got %q, want old-busy", choice.Endpoint)
	}
	if choice, found := b.ChooseLeaving(1, request); !found || choice.Endpoint != "old-leaving" {
		t.Errorf("got %q among the leaving ones, want old-leaving", choice.Endpoint)
	}
	request.Software.Version = "3"
	if choice, found := b.Choose(1, request); found {
		t.Errorf("got %q for a version without endpoints, want none", choice.Endpoint)
	}
}
