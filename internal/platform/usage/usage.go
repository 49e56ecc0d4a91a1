// Package usage reports sealed usage windows to the platform's billing.
//
// # Usage
//
//	client := usage.New("http://10.0.0.1:8000", httpClient)
//	err := client.Report(usage.WithSender(ctx, daemonID, fence), window)
//
// After any error except ErrConflict, report the window again with the same content.
// For a connection through a guard, pass an http.Client whose transport dials the
// guard.
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

// Window is the sealed usage of a period of time. Reporting it is idempotent: the
// same window with the same bytes has no further effect.
type Window struct {
	// Number numbers the windows of a scope from 1 without gaps.
	Number uint64
	// Scope is the region that the window belongs to.
	Scope string
	// Fence is the fencing number of the reporter's lease.
	Fence uint64
	// Reporter is the ID of the daemon that reports, for information only.
	Reporter string
	// Start and End are in Unix milliseconds, for human readers.
	Start clock.Millis
	End   clock.Millis
	Lines []Line
}
