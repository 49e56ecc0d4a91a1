package explain_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/internal/observe/explain"
)

// TestContextNamesEndpointsAndTheStore checks that the explanation of a request has what
// its daemon knew of its endpoint and of the store, and nothing of others.
func TestContextNamesEndpointsAndTheStore(t *testing.T) {
	log := `{"Event":1130,"Request":"r1","Daemon":"vm-1","Endpoint":"i-1","msg":"request placed"}
{"Event":1133,"Request":"r1","Daemon":"vm-1","Status":503,"Reason":"all endpoints of the back end are to get no requests now","msg":"request ended"}
{"Event":1212,"Daemon":"vm-1","Endpoint":"i-1","msg":"endpoint says that it leaves"}
{"Event":1213,"Daemon":"vm-1","Endpoint":"i-1","msg":"endpoint wants no requests"}
{"Event":1213,"Daemon":"vm-1","Endpoint":"i-2","msg":"endpoint wants no requests"}
{"Event":1215,"Daemon":"vm-1","Endpoint":"i-1","msg":"endpoint states terms"}
{"Event":1220,"Daemon":"vm-1","Endpoint":"i-1","msg":"endpoint is reached through peers only"}
{"Event":1221,"Daemon":"vm-1","Endpoint":"i-1","msg":"endpoint is reached again"}
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
	if want := []int{1212, 1213, 1215, 1220, 1221, 2013}; !slices.Equal(events, want) {
		t.Errorf("got the context events %v, want %v of vm-1", events, want)
	}
	if !strings.HasPrefix(report.Cause, "quiet endpoints") {
		t.Errorf("got the cause %q, want the quiet endpoints", report.Cause)
	}
}

// TestContextNamesTheQuarantineOfARequest checks that the explanation of a refused request has
// when its quarantine began, and not that of other requests.
func TestContextNamesTheQuarantineOfARequest(t *testing.T) {
	log := `{"Event":1136,"Request":"r1","Daemon":"vm-1","Digests":"7a,8b","Tried":false,"msg":"request may crash endpoints"}
{"Event":1133,"Request":"r1","Daemon":"vm-1","Status":422,"Reason":"endpoints have crashed under requests like this one","msg":"request ended"}
{"Event":1217,"Daemon":"vm-1","Digest":"8b","msg":"requests are in quarantine"}
{"Event":1217,"Daemon":"vm-1","Digest":"9c","msg":"requests are in quarantine"}
{"Event":1218,"Daemon":"vm-1","Digest":"","msg":"quarantine ended"}`
	report, err := explain.Find(strings.NewReader(log), "r1")
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Context) != 1 || report.Context[0].Digest != "8b" {
		t.Errorf("got the context %+v, want the quarantine of 8b only", report.Context)
	}
}

// TestCauseTellsWhoKeepsARequestFromItsEndpoint checks the causes that are beliefs about an
// endpoint or the path to it.
func TestCauseTellsWhoKeepsARequestFromItsEndpoint(t *testing.T) {
	for reason, want := range map[string]string{
		"endpoint takes no more requests now":                                                                 "limit of the endpoints",
		"endpoints have crashed under requests like this one: it is not sent to any":                          "quarantine",
		"another request like this one is tried first":                                                        "suspicion",
		"all endpoints of the back end are to get no requests now":                                            "quiet endpoints",
		"request not sent to the endpoint: peer 10.0.0.7:7340: the peer does not forward the request: silent": "unreachable endpoint",
	} {
		log := `{"Event":1133,"Request":"r1","Daemon":"vm-1","Status":503,"Reason":"` + reason + `","msg":"request ended"}`
		report, err := explain.Find(strings.NewReader(log), "r1")
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(report.Cause, want) {
			t.Errorf("%s: got the cause %q, want %q", reason, report.Cause, want)
		}
	}
}
