package explain_test

import (
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/internal/observe/explain"
)

// TestContextNamesEndpointsAndTheStore checks that the explanation of a request has what
// its daemon knew of its endpoint and of the store, and nothing of others.
func TestContextNamesEndpointsAndTheStore(t *testing.T) {
	log := `{"Event":1130,"Request":"r1","Daemon":"vm-1","Endpoint":"i-1","msg":"request placed"}
{"Event":1133,"Request":"r1","Daemon":"vm-1","Status":503,"Reason":"all endpoints of the back end have asked for no requests","msg":"request ended"}
{"Event":1212,"Daemon":"vm-1","Endpoint":"i-1","msg":"endpoint says that it leaves"}
{"Event":1213,"Daemon":"vm-1","Endpoint":"i-1","msg":"endpoint wants no requests"}
{"Event":1213,"Daemon":"vm-1","Endpoint":"i-2","msg":"endpoint wants no requests"}
{"Event":2013,"Daemon":"vm-1","msg":"store came back from a copy"}
{"Event":2013,"Daemon":"vm-2","msg":"store came back from a copy"}`
	report, err := explain.Find(strings.NewReader(log), "r1")
	if err != nil {
		t.Fatal(err)
	}
	var events []int
	for _, line := range report.Context {
		events = append(events, line.Event)
	}
	if len(events) != 3 || events[0] != 1212 || events[1] != 1213 || events[2] != 2013 {
		t.Errorf("got the context events %v, want 1212, 1213 and 2013 of vm-1", events)
	}
	if !strings.HasPrefix(report.Cause, "quiet endpoints") {
		t.Errorf("got the cause %q, want the quiet endpoints", report.Cause)
	}
}
