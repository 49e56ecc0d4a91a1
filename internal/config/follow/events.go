package follow

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventStarted = event.New(1501, logrus.InfoLevel, "configuration loaded",
		"The daemon knows a head of the configuration log and may serve.")
	eventStoreLost = event.New(1502, logrus.WarnLevel, "configuration store does not answer",
		"Requests are served under the configuration at hand. Changes are refused, but for withdrawals of keys, which take hold and are written later.")
	eventStoreBack = event.New(1503, logrus.InfoLevel, "configuration store answers again",
		"The configuration is read from the store again.")
	eventUnusable = event.New(1504, logrus.ErrorLevel, "configuration change cannot be applied",
		"The daemon stays at the change before. It was probably written by a newer version: upgrade this daemon.")
	eventDenied = event.New(1505, logrus.InfoLevel, "key denied ahead of the log",
		"A withdrawal is on its way to the store; the key is refused from now on.")
	eventPending = event.New(1506, logrus.WarnLevel, "withdrawal is pending",
		"The key is refused by the daemons that were reached, and the withdrawal is written when the store returns.")
	eventSettled = event.New(1507, logrus.InfoLevel, "withdrawal settled",
		"Its outcome is known: the log has it, or it was refused and the key is admitted again.")
	eventSnapshot = event.New(1508, logrus.InfoLevel, "configuration snapshot saved",
		"New daemons load it together with the changes after it.")
	eventSnapshotFailed = event.New(1509, logrus.WarnLevel, "configuration snapshot could not be saved",
		"It is tried again. Meanwhile new daemons load more of the log.")
	eventCopied = event.New(1510, logrus.InfoLevel, "configuration copied from a peer",
		"The store could not be read.")
	eventChanged = event.New(1511, logrus.InfoLevel, "configuration changed by an operator",
		"This daemon took the change; the audit trail has the details.")
)

var (
	metricSequence = metric.NewCounter("Config.Sequence", "Sequence number of the last configuration change in force.")
	metricAge      = metric.NewCounter("Config.AgeMillis", "Age in milliseconds of the evidence that the configuration is the newest, when last checked; -1 before the first.")
	metricPolls    = metric.NewCounter("Config.StoreReads", "Reads of the configuration log in the store.")
	metricChecks   = metric.NewCounter("Config.Checks", "Checks with a peer that succeeded.")
	metricRepairs  = metric.NewCounter("Config.Repairs", "Changes that a check brought because no push had.")
	metricPending  = metric.NewCounter("Config.PendingWithdrawals", "Withdrawals in force that are not in the store yet.")
)
