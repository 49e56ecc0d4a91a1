package broker

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventBrokerSilent = event.New(1601, logrus.WarnLevel, "broker gives no answer",
		"This daemon decides by itself with its share of the slots until the broker answers or another one is picked. Order between daemons is not kept meanwhile.")
	eventBrokerAnswers = event.New(1602, logrus.InfoLevel, "broker answers again",
		"What waits and runs here has been announced to it.")
	eventBrokerMoved = event.New(1603, logrus.InfoLevel, "cell has another broker",
		"The view of the fleet changed. What waits and runs here is announced to the new broker.")
	eventBrokerBegun = event.New(1604, logrus.InfoLevel, "this daemon is the broker of a cell",
		"It decides which requests run on the endpoints of the cell.")
)

var (
	fallbackBegun = metric.NewCounter("Scheduling.Fallbacks", "Times that a cell was decided here alone because its broker gave no answer.")
	brokerMoved   = metric.NewCounter("Scheduling.Moves", "Times that the broker of a cell changed for this daemon.")
	grantsTaken   = metric.NewCounter("Scheduling.Grants", "Requests that were granted a slot.")
	refusals      = metric.NewMap("Scheduling.Refusals", "Requests refused by the scheduler, by code.")
	preempted     = metric.NewMap("Scheduling.Preempted", "Requests whose slot was taken back, by reason.")
)
