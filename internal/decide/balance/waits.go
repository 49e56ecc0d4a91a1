package balance

import (
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Delays is what the expected time to the first token is made of, in
// milliseconds.
type Delays struct {
	// Work is the request's own: its prompt, or the work of a plain service.
	Work float64
	// Queue is spent on the prompts that the endpoint has already.
	Queue float64
	// Slot is spent until one of its slots comes free.
	Slot float64
	// Memory is spent until its key-value cache has room.
	Memory float64
	// Overdue is by how much its first tokens are late by now.
	Overdue float64
}

func (w Delays) total() float64 {
	return w.Work + w.Queue + w.Slot + w.Memory + w.Overdue
}

// String names the waits that are not zero, for logs.
func (w Delays) String() string {
	var named []string
	for _, wait := range []struct {
		name string
		time float64
	}{{"own work", w.Work}, {"prompts ahead", w.Queue}, {"slot", w.Slot}, {"memory", w.Memory}, {"overdue answers", w.Overdue}} {
		if time := clock.Millis(wait.time); time > 0 {
			named = append(named, wait.name+" "+time.String())
		}
	}
	return strings.Join(named, ", ")
}
