package gateway

import (
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
)

// TestLogNamesTheSourceOfAnOldConfirmation guards against a gateway that serves by a configuration
// which nobody has confirmed for seconds without a line that says so.
func TestLogNamesTheSourceOfAnOldConfirmation(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	held := document.NewHolder()
	l := &confirmationLog{document: held, logger: logger}
	l.log(100 * clock.Second)
	index := document.NewIndex(document.Document{Version: 7})
	held.Update(index, []byte("x"), document.Reading{AsOf: 1000, Source: "vm-1"})
	l.log(3500)
	if entries := hook.AllEntries(); len(entries) != 0 {
		t.Fatalf("got %d lines, want none while the confirmation is recent", len(entries))
	}
	l.log(3501)
	l.log(9000)
	held.Confirm(document.IdentityOf(index, []byte("x")), document.Reading{AsOf: 9000, Source: "vm-2"})
	l.log(9300)
	entries := hook.AllEntries()
	if len(entries) != 2 {
		t.Fatalf("got %d lines, want 2", len(entries))
	}
	if lost := entries[0].Data; lost["Source"] != "vm-1" || lost["Age"] != int64(2501) || lost["Version"] != int64(7) {
		t.Errorf("got %v", lost)
	}
	if again := entries[1].Data; again["Source"] != "vm-2" || again["Age"] != int64(300) || again["Unconfirmed"] != int64(8000) {
		t.Errorf("got %v", again)
	}
}
