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
	eventEntriesUnusable = event.New(1204, logrus.WarnLevel, "entries of the platform's list name no endpoint to use",
		"The stated entries cannot be read or have fields out of range. They are left out; the others are used. Logged again when other entries are left out.")
)
