// Package metric declares the expvar metrics of the daemon, together with the
// line that docs/METRICS.md shows for each. A test holds that page complete.
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

// Description is one documented metric.
type Description struct {
	Name string
	Help string
}

var (
	mu           sync.Mutex
	descriptions []Description
)

// NewCounter declares a metric that only grows, or a gauge that is set.
func NewCounter(name, help string) *expvar.Int {
	describe(name, help)
	return expvar.NewInt(name)
}

// NewMap declares a metric with one value for each of several keys.
func NewMap(name, help string) *expvar.Map {
	describe(name, help)
	return expvar.NewMap(name)
}

// All returns the declared metrics in the order of their names.
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
