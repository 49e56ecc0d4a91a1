// Package review checks a configuration document before an operator sends it: what is wrong in
// it, which of its entries can never have an effect, which of its limits contradict each other,
// and what differs from the version in force.
//
// The package is pure: it reads and writes nothing.
//
// # Usage
//
//	findings := review.Check(doc)
//	changes := review.Diff(inForce, doc)
package review

import (
	"fmt"
	"strings"

	"github.com/banyanshift/banyanshift/internal/config/document"
)

// Severity says what a finding means for a document.
type Severity string

// Severities.
const (
	// Error: requests will be refused or end otherwise than the document says.
	Error Severity = "error"
	// Warning: an entry has no effect, or is likely to be a mistake.
	Warning Severity = "warning"
)

// Finding is a problem of an entry of a document.
type Finding struct {
	Severity Severity
	// Entry names the entry, such as "route books".
	Entry   string
	Problem string
}

// checker collects the findings of a document.
type checker struct {
	findings []Finding
}

func (c *checker) errorf(entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: Error, Entry: entry, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) warnf(entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: Warning, Entry: entry, Problem: fmt.Sprintf(format, args...)})
}

// Check returns the problems of a document, in the order of its entries.
func Check(doc document.Document) []Finding {
	c := &checker{}
	c.checkLimits(doc.Limits)
	c.checkRoutes(doc)
	c.checkBackends(doc)
	c.checkTeams(doc)
	return c.findings
}

func (c *checker) checkLimits(limits document.Limits) {
	if limits.MaxHeaderBytes < 0 || limits.MaxBodyBytes < 0 || limits.HeaderTimeout < 0 || limits.IdleTimeout < 0 {
		c.errorf("limits", "a limit is negative")
	}
	if limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout {
		c.warnf("limits", "connections are closed as idle after %s, before the header timeout of %s", limits.IdleTimeout, limits.HeaderTimeout)
	}
}

func (c *checker) checkRoutes(doc document.Document) {
	first := make(map[string]string)
	for i := range doc.Routes {
		route := &doc.Routes[i]
		entry := "route " + route.Name
		place := strings.ToLower(route.Host) + route.Prefix
		if earlier, taken := first[place]; taken {
			c.errorf(entry, "never matches: route %s has the same host and prefix", earlier)
		} else {
			first[place] = route.Name
		}
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			c.errorf(entry, "prefix %q does not begin and end with a slash", route.Prefix)
		}
		c.checkTimes(entry, route)
		c.checkShares(entry, route, doc.Backends)
	}
}

// checkTimes checks the timeout, the targets and the attempts of a route.
func (c *checker) checkTimes(entry string, route *document.Route) {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = document.DefaultTimeout
	}
	if route.LatencyTarget > timeout {
		c.errorf(entry, "the latency target of %s cannot be met: the timeout is %s", route.LatencyTarget, timeout)
	}
	if route.EventGapTarget > timeout {
		c.warnf(entry, "the target for pauses of %s is longer than the timeout of %s", route.EventGapTarget, timeout)
	}
	if route.EventGapTarget > 0 && route.Kind != document.Streaming {
		c.warnf(entry, "has a target for pauses, but its answers are not streams")
	}
	if route.Resumable && route.Kind != document.Streaming {
		c.warnf(entry, "is resumable, but its answers are not streams")
	}
	if route.MaxAttempts > 1 && !route.Repeatable() {
		c.warnf(entry, "allows %d attempts, but its requests run once only: others follow only if an endpoint did not run them", route.MaxAttempts)
	}
}

// checkShares checks the back ends of a route.
func (c *checker) checkShares(entry string, route *document.Route, backends []document.Backend) {
	total := 0
	for _, share := range route.Backends {
		if !hasBackend(backends, share.Backend) {
			c.errorf(entry, "back end %q does not exist", share.Backend)
		}
		if share.Weight <= 0 {
			c.warnf(entry, "back end %s gets no requests: its weight is %d", share.Backend, share.Weight)
		}
		total += max(share.Weight, 0)
	}
	switch {
	case len(route.Backends) == 0:
		c.errorf(entry, "has no back end")
	case total == 0:
		c.errorf(entry, "all its weights are 0: the first back end gets every request")
	}
}

func hasBackend(backends []document.Backend, name string) bool {
	for i := range backends {
		if backends[i].Name == name {
			return true
		}
	}
	return false
}

func (c *checker) checkBackends(doc document.Document) {
	used := make(map[string]bool)
	for i := range doc.Routes {
		for _, share := range doc.Routes[i].Backends {
			used[share.Backend] = used[share.Backend] || share.Weight > 0
		}
	}
	known := make(map[string]bool)
	for i := range doc.Backends {
		backend := &doc.Backends[i]
		entry := "back end " + backend.Name
		if known[backend.Name] {
			c.errorf(entry, "is listed twice: the last one counts")
		}
		known[backend.Name] = true
		if !used[backend.Name] {
			c.warnf(entry, "gets no requests: no route names it")
		}
		if backend.Engine != nil && backend.ConnectionLimit > 0 && backend.ConnectionLimit < backend.Engine.Slots {
			c.errorf(entry, "the connection limit of %d leaves some of the %d slots empty", backend.ConnectionLimit, backend.Engine.Slots)
		}
		if scaling := backend.Scaling; scaling != nil && scaling.MinEndpoints > scaling.MaxEndpoints {
			c.errorf(entry, "at least %d endpoints and at most %d contradict each other", scaling.MinEndpoints, scaling.MaxEndpoints)
		}
	}
}

func (c *checker) checkTeams(doc document.Document) {
	holder := make(map[string]string)
	known := make(map[string]bool)
	for _, team := range doc.Teams {
		entry := "team " + team.Name
		if known[team.Name] {
			c.errorf(entry, "is listed twice")
		}
		known[team.Name] = true
		if len(team.Keys) == 0 {
			c.warnf(entry, "has no key: only public routes serve it")
		}
		for _, key := range team.Keys {
			if other, taken := holder[key]; taken {
				c.errorf(entry, "shares a key with team %s: the last one listed gets its requests", other)
			}
			holder[key] = team.Name
		}
	}
}
