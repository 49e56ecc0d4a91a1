package follow

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventStarted = event.New(1501, logrus.InfoLevel, "configuration loaded",
		"The daemon has loaded the configuration and can serve requests.")
	eventStoreLost = event.New(1502, logrus.WarnLevel, "configuration store does not answer",
		"Requests are served with the last known configuration. Changes are rejected, except key withdrawals, which take effect at once and are written later.")
	eventStoreBack = event.New(1503, logrus.InfoLevel, "configuration store answers again",
		"The configuration is read from the store again.")
	eventUnusable = event.New(1504, logrus.ErrorLevel, "configuration change cannot be applied",
		"The daemon stays at the previous change. The change was probably written by a newer version: upgrade this daemon.")
	eventDenied = event.New(1505, logrus.InfoLevel, "key denied ahead of the log",
		"A withdrawal is being written to the store; the key is rejected from now on.")
	eventPending = event.New(1506, logrus.WarnLevel, "withdrawal is pending",
		"The daemons that could be reached reject the key. The withdrawal is written when the store is available again.")
	eventSettled = event.New(1507, logrus.InfoLevel, "withdrawal settled",
		"The outcome is known: the withdrawal is in the log, or it was refused and the key is admitted again.")
	eventSnapshot = event.New(1508, logrus.InfoLevel, "configuration snapshot saved",
		"New daemons load it and the changes after it.")
	eventSnapshotFailed = event.New(1509, logrus.WarnLevel, "configuration snapshot could not be saved",
		"The daemon retries. Until then, new daemons load more of the log.")
	eventCopied = event.New(1510, logrus.InfoLevel, "configuration copied from a peer",
		"The daemon copied the state of a peer because it could not read the store.")
	eventChanged = event.New(1511, logrus.InfoLevel, "configuration changed by an operator",
		"This daemon accepted the change; the audit trail has the details.")
)

var (
	metricSequence = metric.NewCounter("Config.Sequence", "Sequence number of the last applied configuration change.")
	metricAge      = metric.NewCounter("Config.AgeMillis", "Time in milliseconds since the configuration was known to be current, as of the last check; -1 if never.")
	metricPolls    = metric.NewCounter("Config.StoreReads", "Reads of the configuration log from the store.")
	metricChecks   = metric.NewCounter("Config.Checks", "Successful checks with a peer.")
	metricRepairs  = metric.NewCounter("Config.Repairs", "Changes received by a check because no push delivered them.")
	metricPending  = metric.NewCounter("Config.PendingWithdrawals", "Key withdrawals that are in force but not in the store yet.")
)
