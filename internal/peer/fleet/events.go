package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var retries = metric.NewMap("Budget.Retries", "Repeated requests that the retry budget was asked for, by back end, granted or refused.")

var (
	eventPeerJoined = event.New(1410, logrus.InfoLevel, "peer joined",
		"Another daemon of the fleet was found.")
	eventPeerLost = event.New(1411, logrus.WarnLevel, "peer does not answer",
		"A daemon has not answered for several pings; its connection is opened anew.")
	eventPeerRegained = event.New(1412, logrus.InfoLevel, "peer answers again",
		"A daemon that did not answer does so again.")
	eventPeerForgotten = event.New(1413, logrus.InfoLevel, "peer forgotten",
		"A daemon has not answered for long and is taken to be gone.")
	eventVersionFetched = event.New(1520, logrus.InfoLevel, "configuration taken from a peer",
		"A peer had a newer version of the configuration than this daemon.")
	eventFetchFailed = event.New(1521, logrus.WarnLevel, "fetching from a peer failed",
		"What a peer had newer could not be fetched; the next ping tries again.")
	eventRegisterFailed = event.New(1414, logrus.WarnLevel, "registering in the table failed",
		"Other daemons cannot find this one through the table yet; it is tried again.")
)
