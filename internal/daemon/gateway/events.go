package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventStarted = event.New(1010, logrus.InfoLevel, "gateway started",
		"The gateway listens. It serves callers once it knows a configuration.")
	eventStopping = event.New(1011, logrus.InfoLevel, "gateway is shutting down",
		"The readiness check fails from now on; requests in flight are answered.")
	eventStopped = event.New(1012, logrus.InfoLevel, "gateway stopped",
		"Every request was answered or the grace time was over.")
	eventReloaded = event.New(1013, logrus.InfoLevel, "settings reloaded",
		"The settings file was read again.")
	eventVersion = event.New(1530, logrus.InfoLevel, "configuration in force",
		"A version of the configuration was read from the store.")
	eventVersionUnreadable = event.New(1531, logrus.ErrorLevel, "configuration cannot be read",
		"The store holds a configuration that cannot be decoded; the last good version stays in force.")
	eventEndpointChanged = event.New(1210, logrus.InfoLevel, "endpoint changed",
		"An endpoint was added, began to leave, is missing after an outage of the store, or is gone.")
	eventEndpointUnreadable = event.New(1211, logrus.WarnLevel, "entry of an endpoint cannot be read",
		"The entry names no endpoint that can be used; it is passed over.")
)
