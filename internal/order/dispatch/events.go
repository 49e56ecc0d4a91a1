package dispatch

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventTookOver = event.New(1810, logrus.InfoLevel, "order journal taken over",
		"This daemon gives the orders of its region. It completes the orders that were left open first.")
	eventDeposed = event.New(1811, logrus.WarnLevel, "order refused because of an old fence",
		"Another daemon gives the orders now. This one stops by itself.")
	eventEnded = event.New(1812, logrus.InfoLevel, "order ended",
		"An endpoint order was carried out or refused; the reason is in the fields.")
	eventNotRecorded = event.New(1813, logrus.WarnLevel, "order journal not written",
		"The table did not answer. Orders that were carried out are sent again under the same ID, which changes nothing.")
)

var (
	sent     = metric.NewCounter("Order.Sent", "Endpoint orders sent, repetitions included.")
	finished = metric.NewMap("Order.Ended", "Endpoint orders that have ended, by state.")
)
