// Package supply decides how many firm and cheap endpoints a back end should
// have in each failure domain.
//
// It answers the load of bursts that begin within a second or two, against
// endpoints that take several seconds to start: what a burst needs has to run
// before it comes. Cheap endpoints carry the bulk. They can be taken away, all
// of a failure domain at once, so that the firm ones must be enough for the
// urgent work.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	for _, order := range supply.Decide(supply.Input{Backend: backend, Domains: domains}) { ... }
package supply

import (
	"github.com/banyanshift/banyanshift/internal/config/document"
)

// Standing numbers of endpoints in each failure domain.
const (
	// firmPerDomain carries the urgent work when all cheap ones are gone.
	firmPerDomain = 2
	// cheapPerDomain carries bursts.
	cheapPerDomain = 3
)

// Order is a wanted number of endpoints.
type Order struct {
	Backend       string
	FailureDomain string
	Cheap         bool
	Count         int
}

// Input is what a decision depends on.
type Input struct {
	Backend document.Backend
	Domains []string
}

// Decide returns the wanted numbers of the back end, none where they are not
// ours to order.
func Decide(input Input) []Order {
	scaling := input.Backend.Scaling
	if scaling == nil {
		return nil
	}
	var orders []Order
	for _, domain := range input.Domains {
		firm := min(max(firmPerDomain, scaling.Min), scaling.Max)
		cheap := 0
		if scaling.CheapPrice > 0 {
			cheap = min(cheapPerDomain, scaling.Max-firm)
		}
		orders = append(orders,
			Order{Backend: input.Backend.Name, FailureDomain: domain, Count: firm},
			Order{Backend: input.Backend.Name, FailureDomain: domain, Cheap: true, Count: cheap})
	}
	return orders
}
