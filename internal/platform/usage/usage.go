// Package usage reports sealed usage windows to the platform's billing.
//
// # Usage
//
//	client := usage.New("http://10.0.0.1:8000", httpClient)
//	err := client.Report(usage.WithSender(ctx, daemonID, fence), window)
//
// Any error but ErrConflict leaves the window to be reported again, with the
// same content. Over a guarded connection, pass an http.Client whose transport
// dials through the guard.
package usage

import "github.com/banyanshift/banyanshift/coord/clock"

// Line is the usage of one team, class and back end within a window.
type Line struct {
	Team         string
	Class        string
	Backend      string
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// Window is the sealed usage of a span of time. Reporting the same window
// again with the same bytes has no further effect.
type Window struct {
	// Number counts the windows of a scope from 1 without gaps.
	Number uint64
	// Scope is the region that the window belongs to.
	Scope string
	// Fence is the fencing number of the reporter's lease.
	Fence uint64
	// Reporter names the daemon that reports, for the record.
	Reporter string
	// Start and End are Unix milliseconds, for people.
	Start clock.Millis
	End   clock.Millis
	Lines []Line
}
