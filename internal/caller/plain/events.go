package plain

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var eventCallFailed = event.New(1120, logrus.InfoLevel, "an endpoint of a plain service failed a call",
	"NotRun tells whether the call surely did not run. Calls that may run once are not sent again otherwise.")
