package entry

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventServeFailed = event.New(1101, logrus.ErrorLevel, "callers' interface stopped",
		"The daemon no longer accepts callers. Look at the error and replace the VM.")
	eventFailed = event.New(1102, logrus.WarnLevel, "a request failed inside the router",
		"The caller got status 500 with Run: Unknown.")
)

var (
	requests    = metric.NewCounter("Caller.Requests", "Requests whose header was read.")
	completed   = metric.NewCounter("Caller.Completed", "Requests that were answered whole.")
	callersGone = metric.NewCounter("Caller.Gone", "Requests whose caller went away before the end.")
	refusals    = metric.NewMap("Caller.Refusals", "Refused or failed requests, by code.")
)
