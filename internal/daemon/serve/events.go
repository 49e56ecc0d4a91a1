package serve

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventStarted = event.New(1001, logrus.InfoLevel, "daemon started",
		"The daemon listens. It serves callers once it knows a configuration.")
	eventStopping = event.New(1002, logrus.InfoLevel, "daemon is shutting down",
		"Requests in flight are answered to their end before the process exits.")
	eventStopped = event.New(1003, logrus.InfoLevel, "daemon stopped",
		"Every request was answered and usage was handed on.")
)
