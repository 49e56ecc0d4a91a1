package entry

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventServeFailed = event.New(1101, logrus.ErrorLevel, "HTTP server for callers stopped",
		"The daemon no longer accepts connections of callers. Check the error and replace the VM.")
	eventRequestFailed = event.New(1102, logrus.WarnLevel, "request failed inside the router",
		"The caller got status 500 with Run: Unknown, or an incomplete answer if its header had been sent.")
	eventNotReset = event.New(1103, logrus.WarnLevel, "connection of an HTTP/1.0 caller was not reset",
		"An incomplete answer may look complete to the caller, because its connection may have ended regularly.")
)

var (
	requests    = metric.NewCounter("Caller.Requests", "Requests whose header was read.")
	completed   = metric.NewCounter("Caller.Completed", "Requests that were answered completely.")
	callersGone = metric.NewCounter("Caller.Gone", "Requests whose caller disconnected before the end of the answer.")
	refusals    = metric.NewMap("Caller.Refusals", "Refused or failed requests, by code.")
)
