package broker

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventBrokerUnresponsive = event.New(1601, logrus.WarnLevel, "broker gives no answer",
		"This daemon schedules locally with its share of the slots until the broker answers or another one is picked. Meanwhile the order of requests across daemons is not kept.")
	eventBrokerRecovered = event.New(1602, logrus.InfoLevel, "broker answers again",
		"This daemon announces its waiting and running requests to the broker.")
	eventBrokerChanged = event.New(1603, logrus.InfoLevel, "cell has another broker",
		"The view of the fleet changed. This daemon announces its waiting and running requests to the new broker.")
	eventBrokerStarted = event.New(1604, logrus.InfoLevel, "this daemon is the broker of a cell",
		"It decides which requests run on the endpoints of the cell.")
)

var (
	fallbackCount     = metric.NewCounter("Scheduling.Fallbacks", "Times that this daemon began to schedule a cell locally because its broker did not answer.")
	brokerChangeCount = metric.NewCounter("Scheduling.Moves", "Times that the broker of a cell changed for this daemon.")
	grantCount        = metric.NewCounter("Scheduling.Grants", "Requests that were granted a slot.")
	refusalCount      = metric.NewMap("Scheduling.Refusals", "Requests refused by the scheduler, by code.")
	preemptionCount   = metric.NewMap("Scheduling.Preempted", "Requests whose slot was revoked, by reason.")
)
