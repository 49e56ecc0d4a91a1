package rpc

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventServing = event.New(2101, logrus.InfoLevel, "operators' interface is listening",
		"The daemon accepts operators' calls at Address.")
	eventServeFailed = event.New(2102, logrus.ErrorLevel, "operators' interface failed",
		"The daemon no longer accepts operators' calls. Callers are served on. Restart the daemon.")
	eventRefused = event.New(2103, logrus.WarnLevel, "operator token refused",
		"A call came with no token or a wrong one. If it repeats, look at who is at Peer.")
	eventChanged = event.New(2104, logrus.InfoLevel, "operator changed the configuration",
		"The audit trail holds what was changed, under Sequence. Unconfirmed counts live daemons that have not confirmed it yet.")
	eventChangeFailed = event.New(2105, logrus.WarnLevel, "operator's change failed",
		"Code says why: Aborted is a race with another operator, Unavailable an unreachable store, Unknown an outcome that sending the change again with the same RequestID settles.")
	eventPanic = event.New(2106, logrus.ErrorLevel, "operator's call panicked",
		"A fault in the daemon; the call failed and nothing else. Report it with the Stack.")
)

var (
	calls        = metric.NewMap("Operator.Calls", "Authenticated calls of operators, by method.")
	refusedCalls = metric.NewCounter("Operator.Refused", "Calls refused for a missing or wrong operator token.")

	refusedConnections = metric.NewCounter("Operator.RefusedConnections", "Connections refused because their address had too many open already.")
)
