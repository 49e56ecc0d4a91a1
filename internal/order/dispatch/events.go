package dispatch

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventTookOver = event.New(1810, logrus.InfoLevel, "order journal taken over",
		"This daemon sends the orders of its region. It first completes the orders that the previous holder left open.")
	eventOldFence = event.New(1811, logrus.WarnLevel, "order refused because of an old fence",
		"Another daemon holds the lease and sends the orders now. This daemon stops sending by itself.")
	eventOrderEnded = event.New(1812, logrus.InfoLevel, "order ended",
		"An endpoint order was carried out or refused; the Reason field gives the cause of a refusal.")
	eventJournalNotWritten = event.New(1813, logrus.WarnLevel, "order journal not written",
		"The table did not answer. Orders that were carried out are sent again under the same ID, which has no further effect.")
)

var (
	sent     = metric.NewCounter("Order.Sent", "Endpoint orders sent, including retries.")
	finished = metric.NewMap("Order.Ended", "Endpoint orders carried out or refused, by state.")
)
