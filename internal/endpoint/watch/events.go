package watch

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventLeaving = event.New(1201, logrus.InfoLevel, "an endpoint is leaving",
		"It gets no new requests. A running request is moved if the endpoint will be reclaimed before the request can finish.")
	eventListFailed = event.New(1202, logrus.WarnLevel, "the platform's list of endpoints can't be read",
		"The last list stays in use. New endpoints are not used until the list can be read again.")
	eventListBack = event.New(1203, logrus.InfoLevel, "the platform's list of endpoints is back",
		"Nothing to do.")
)
