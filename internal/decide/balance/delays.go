package balance

import (
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Delays is the breakdown of an expected time to first token, in milliseconds.
type Delays struct {
	// Work is the time for the request itself: its uncached prompt, or the
	// work of a plain service.
	Work float64
	// Queue is the time for the prompts that are queued at the endpoint.
	Queue float64
	// Copy is the time for copying a part of the prompt from another endpoint.
	Copy float64
	// Slot is the wait for a free slot.
	Slot float64
	// Memory is the wait for room in the key-value cache.
	Memory float64
	// Overdue is how late the most overdue first token of the endpoint is.
	Overdue float64
	// Cold is the time until a cold endpoint can take a further request.
	Cold float64
}

func (d Delays) total() float64 {
	return d.Work + d.Queue + d.Copy + d.Slot + d.Memory + d.Overdue + d.Cold
}

// String lists the delays that are not zero, for logs.
func (d Delays) String() string {
	var parts []string
	for _, delay := range []struct {
		name string
		time float64
	}{{"own work", d.Work}, {"prompts ahead", d.Queue}, {"copy of the prompt", d.Copy}, {"slot", d.Slot}, {"memory", d.Memory}, {"overdue answers", d.Overdue}, {"cold endpoint", d.Cold}} {
		if time := clock.Millis(delay.time); time > 0 {
			parts = append(parts, delay.name+" "+time.String())
		}
	}
	return strings.Join(parts, ", ")
}
