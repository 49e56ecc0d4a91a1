package hold

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventBegun = event.New(1800, logrus.InfoLevel, "term begun",
		"This daemon holds the lease of its region and gives orders and reports usage.")
	eventEnded = event.New(1801, logrus.InfoLevel, "term ended",
		"This daemon no longer gives orders. Normal at shutdown; otherwise the table was unreachable for longer than the lease, or the process was paused.")
	eventFailed = event.New(1802, logrus.WarnLevel, "work of the lease holder failed",
		"It begins again after a second. The error says why; usually the table did not answer.")
)
