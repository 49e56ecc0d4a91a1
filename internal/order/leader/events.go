package leader

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventTermStarted = event.New(1800, logrus.InfoLevel, "term started",
		"This daemon holds the lease of its region, sends orders and reports usage.")
	eventTermEnded = event.New(1801, logrus.InfoLevel, "term ended",
		"This daemon no longer sends orders. Normal at shutdown; otherwise the table was unreachable for longer than the lease, or the process was paused.")
	eventWorkFailed = event.New(1802, logrus.WarnLevel, "work of the lease holder failed",
		"The work is restarted after a second. The Error field gives the cause; usually the table did not answer.")
)
