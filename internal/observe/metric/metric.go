// Package metric declares the expvar metrics of the daemon, with the help text that
// docs/METRICS.md shows for each. A test checks that the page is complete.
//
// # Usage
//
//	var requests = metric.NewCounter("Caller.Requests", "Requests whose header was read.")
//
//	requests.Add(1)
package metric

import (
	"expvar"
	"sort"
	"sync"
)

// Description holds the name and help text of a metric.
type Description struct {
	Name string
	Help string
}

var (
	mu           sync.Mutex
	descriptions []Description
)

// NewCounter declares a counter or a gauge.
func NewCounter(name, help string) *expvar.Int {
	describe(name, help)
	return expvar.NewInt(name)
}

// NewMap declares a metric with one value per key.
func NewMap(name, help string) *expvar.Map {
	describe(name, help)
	return expvar.NewMap(name)
}

// All returns the declared metrics ordered by name.
func All() []Description {
	mu.Lock()
	defer mu.Unlock()
	all := append([]Description(nil), descriptions...)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func describe(name, help string) {
	mu.Lock()
	defer mu.Unlock()
	descriptions = append(descriptions, Description{Name: name, Help: help})
}
