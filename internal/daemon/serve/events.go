package serve

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventStarted = event.New(1001, logrus.InfoLevel, "daemon started",
		"The daemon is listening. It serves callers once it has read a configuration.")
	eventStopping = event.New(1002, logrus.InfoLevel, "daemon is shutting down",
		"In-flight requests are completed before the process exits.")
	eventStopped = event.New(1003, logrus.InfoLevel, "daemon stopped",
		"Every request was completed and usage was handed over.")
)
