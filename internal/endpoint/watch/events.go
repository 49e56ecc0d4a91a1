package watch

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventLeaving = event.New(1201, logrus.InfoLevel, "an endpoint is leaving",
		"It gets no new work; work that it runs is moved when it is taken away before the work can end.")
	eventListFailed = event.New(1202, logrus.WarnLevel, "the platform's list of endpoints can't be read",
		"The last list stays in force. New endpoints are not used until the list is back.")
	eventListBack = event.New(1203, logrus.InfoLevel, "the platform's list of endpoints is back",
		"Nothing to do.")
)
