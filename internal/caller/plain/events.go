package plain

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var eventCallFailed = event.New(1120, logrus.InfoLevel, "an endpoint of a plain service failed a call",
	"NotRun reports whether the call certainly did not run. A call that is not repeatable is sent again only then.")
