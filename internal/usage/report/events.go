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
		"The platform's billing service confirmed the report.")
	eventFailed = event.New(1712, logrus.WarnLevel, "usage window not closed or not reported yet",
		"The table or the platform's billing service did not respond, or the lease is moving to another daemon. The step is retried with the same figures.")
	eventConflict = event.New(1713, logrus.ErrorLevel, "usage window refused by the billing",
		"The billing service already has this window with different figures. Later windows wait. Compare the window with the one that the billing service has; nothing is reported until they agree.")
	eventUnreadable = event.New(1714, logrus.ErrorLevel, "usage batch cannot be read",
		"The batch was left out of its window. It was written by a daemon of another version or is corrupted.")
)

var (
	closedWindows   = metric.NewCounter("Usage.WindowsClosed", "Usage windows that this daemon sealed.")
	reportedWindows = metric.NewCounter("Usage.WindowsReported", "Usage windows whose report by this daemon was confirmed.")
	conflictCount   = metric.NewCounter("Usage.Conflicts", "Reports that the billing service rejected because it has different figures.")
)
