package report

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventClosed = event.New(1710, logrus.InfoLevel, "usage window closed",
		"The figures of the window are sealed and never change.")
	eventReported = event.New(1711, logrus.InfoLevel, "usage window reported",
		"The platform's billing has confirmed the report.")
	eventFailed = event.New(1712, logrus.WarnLevel, "usage window not closed or not reported yet",
		"The table or the platform's billing did not answer, or the lease is passing on. It is tried again with the same figures.")
	eventConflict = event.New(1713, logrus.ErrorLevel, "usage window refused by the billing",
		"The billing has this window with other figures. Later windows wait. Compare the window with what the billing has; nothing is reported until they agree.")
	eventUnreadable = event.New(1714, logrus.ErrorLevel, "usage batch cannot be read",
		"The batch was left out of its window. It was written by a daemon of another version or is damaged.")
)

var (
	closed    = metric.NewCounter("Usage.WindowsClosed", "Usage windows that this daemon has sealed.")
	reported  = metric.NewCounter("Usage.WindowsReported", "Usage windows whose report was confirmed to this daemon.")
	conflicts = metric.NewCounter("Usage.Conflicts", "Reports refused because the billing has other figures.")
)
