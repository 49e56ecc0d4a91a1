package rpc

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventServing = event.New(2101, logrus.InfoLevel, "operators' interface is listening",
		"The daemon accepts operator calls at Address.")
	eventServeFailed = event.New(2102, logrus.ErrorLevel, "operators' interface failed",
		"The daemon no longer accepts operator calls. It continues to serve callers. Restart the daemon.")
	eventRefused = event.New(2103, logrus.WarnLevel, "operator token refused",
		"A call had no token or a wrong one. If the event repeats, find out which client is at Peer.")
	eventChanged = event.New(2104, logrus.InfoLevel, "operator changed the configuration",
		"The audit trail lists the changes under Sequence. Unconfirmed counts the live daemons that have not confirmed the change yet.")
	eventChangeFailed = event.New(2105, logrus.WarnLevel, "operator's change failed",
		"Code gives the reason. Aborted: another operator changed the entity first. Unavailable: the store cannot be reached. Unknown: the outcome is not known; send the change again with the same RequestID to learn it.")
	eventPanic = event.New(2106, logrus.ErrorLevel, "operator's call panicked",
		"A bug in the daemon. Only this call failed. Report it with the Stack.")
)

var (
	calls        = metric.NewMap("Operator.Calls", "Authenticated operator calls, by method.")
	refusedCalls = metric.NewCounter("Operator.Refused", "Calls refused because the operator token was missing or wrong.")

	refusedConnections = metric.NewCounter("Operator.RefusedConnections", "Connections refused because their address already had the maximum number of open connections.")
)
