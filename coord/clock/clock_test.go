package clock_test

import (
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

func TestDeadlineMatchesInstant(t *testing.T) {
	manual := clock.NewManual(5000)
	before := time.Now()
	deadline := manual.Clock().Deadline(7000)
	after := time.Now()
	if deadline.Before(before.Add(2*time.Second)) || deadline.After(after.Add(2*time.Second)) {
		t.Errorf("got deadline %v at %v, want 2s later", deadline, before)
	}
}
