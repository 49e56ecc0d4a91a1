package link

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventAcceptFailed = event.New(1301, logrus.WarnLevel, "peer link could not accept a connection",
		"Usually the limit of open files was reached. Raise it if this repeats.")
	eventPeerRefused = event.New(1302, logrus.WarnLevel, "connection to the peer link refused",
		"The other side is not a peer, or is a peer of another version or with an invalid certificate.")
	eventPeerLost = event.New(1303, logrus.DebugLevel, "connection with a peer ended",
		"Normal when daemons restart. Requests that waited for a response on it have failed.")
	eventHandlerFailed = event.New(1304, logrus.DebugLevel, "a peer's message could not be served",
		"The handler of a one-way message failed, or the response to a request could not be queued.")
)

var (
	bytesSent    = metric.NewMap("Peer.BytesSent", "Bytes sent to peers, by message type (hexadecimal).")
	messagesSent = metric.NewMap("Peer.MessagesSent", "Messages sent to peers, by message type (hexadecimal).")
	dropped      = metric.NewCounter("Peer.Dropped", "One-way messages dropped because a peer was unreachable or read them too slowly.")
)
