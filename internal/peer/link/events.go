package link

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventAcceptFailed = event.New(1301, logrus.WarnLevel, "peer link could not accept a connection",
		"Usually the limit of open files. Raise it if this repeats.")
	eventPeerRefused = event.New(1302, logrus.WarnLevel, "connection to the peer link refused",
		"Something that is no peer, or a peer of another version or with a wrong certificate, has connected.")
	eventPeerLost = event.New(1303, logrus.DebugLevel, "connection with a peer ended",
		"Normal when daemons restart. Requests that were waiting on it have failed.")
	eventHandlerFailed = event.New(1304, logrus.DebugLevel, "a peer's message could not be served",
		"The error went back to the peer.")
)

var (
	bytesSent    = metric.NewMap("Peer.BytesSent", "Bytes sent to peers, by message type (hexadecimal).")
	messagesSent = metric.NewMap("Peer.MessagesSent", "Messages sent to peers, by message type (hexadecimal).")
	dropped      = metric.NewCounter("Peer.Dropped", "One-way messages dropped because a peer took them too slowly or was unreachable.")
)
