package retry

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

func TestOutageCausesNoRetryStorm(t *testing.T) {
	b := NewBudgets(Config{})
	retries := 0
	for range 1000 {
		if b.TakeRetry("a", "pool") {
			retries++
		}
	}
	if retries != DefaultBurst {
		t.Fatalf("%d retries without a success, want %d", retries, DefaultBurst)
	}
	if !b.TakeRetry("b", "pool") {
		t.Fatal("retry of team b refused because team a spent its budget")
	}
	for range 100 {
		b.RecordSuccess("a", "pool")
	}
	retries = 0
	for range 1000 {
		if b.TakeRetry("a", "pool") {
			retries++
		}
	}
	if retries < 9 || retries > 10 {
		t.Fatalf("%d retries after 100 successes, want 9 or 10", retries)
	}
}

func TestHedgesAreBounded(t *testing.T) {
	h := NewHedger(HedgeConfig{})
	if h.TakeHedge(clock.Minute, true) {
		t.Fatal("hedge allowed before anything was measured")
	}
	hedged := 0
	for i := range 10_000 {
		h.RecordFirstToken(clock.Millis(100 + i%100))
		if h.TakeHedge(clock.Second, true) {
			hedged++
		}
	}
	if hedged > 300 {
		t.Fatalf("%d of 10000 requests hedged, want at most 3%%", hedged)
	}
	for range 100 {
		h.RecordFirstToken(100)
	}
	if h.TakeHedge(clock.Second, false) {
		t.Fatal("hedge allowed for a request that isn't repeatable")
	}
	if h.TakeHedge(h.Delay()-1, true) {
		t.Fatal("hedge allowed before the delay has passed")
	}
	if !h.TakeHedge(h.Delay(), true) {
		t.Fatal("hedge refused after the delay has passed")
	}
}
