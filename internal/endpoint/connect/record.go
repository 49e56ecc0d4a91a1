package connect

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/path"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventPathBroken = event.New(1220, logrus.WarnLevel, "endpoint is reached through peers only",
		"This daemon cannot reach the endpoint, but a peer can: the path between them is broken. Requests go through peers, and the path is tried again now and then.")
	eventPathHealed = event.New(1221, logrus.InfoLevel, "endpoint is reached again",
		"This daemon reaches the endpoint over its own path again.")

	connections = metric.NewMap("Endpoint.Connections", "Ways found to endpoints: connections that were idle or opened, or through a peer, or none.")
)

func (c *Connector) way(endpoint string) path.Way {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Way(endpoint)
}

func (c *Connector) heardWithin(endpoint string, age clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.HeardWithin(c.config.Clock.Now(), endpoint, age)
}

func (c *Connector) isFresh(endpoint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.IsFresh(c.config.Clock.Now(), endpoint)
}

func (c *Connector) isDoubtful(endpoint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.IsDoubtful(c.config.Clock.Now(), endpoint)
}

// recordHeard records that an endpoint was heard from over this daemon's own path.
func (c *Connector) recordHeard(endpoint string) {
	c.mu.Lock()
	brokenFor, healed := c.table.RecordHeard(c.config.Clock.Now(), endpoint)
	c.mu.Unlock()
	if healed {
		eventPathHealed.Log(c.config.Logger, logrus.Fields{"Endpoint": endpoint, "After": int64(brokenFor)})
	}
}

// recordBroken records that a peer reaches an endpoint to which this daemon's own path
// failed. If the path is silent, the idle connections to the endpoint are not to be used
// either; if it refuses new connections only, the open ones go on.
func (c *Connector) recordBroken(endpoint string, silent bool) {
	c.mu.Lock()
	broken := c.table.RecordPeerReached(c.config.Clock.Now(), endpoint)
	c.mu.Unlock()
	if silent {
		c.config.Pool.CloseIdle(endpoint)
	}
	if broken {
		eventPathBroken.Log(c.config.Logger, logrus.Fields{"Endpoint": endpoint, "Silent": silent})
	}
}

func (c *Connector) recordNoWay(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordNoWay(endpoint)
}

// recordPeer records whether a peer reaches an endpoint.
func (c *Connector) recordPeer(peer string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.table.RecordPeerFailed(c.config.Clock.Now(), peer)
		return
	}
	c.table.RecordForwardBegun(c.config.Clock.Now(), peer)
}

func (c *Connector) recordForwardEnded(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordForwardEnded(c.config.Clock.Now(), peer)
}

// choosePeers returns the peers to ask for a way to an endpoint, in order.
func (c *Connector) choosePeers(target Target) []path.Peer {
	peers := c.config.Peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Choose(c.config.Clock.Now(), peers, []string{c.config.FailureDomain, target.FailureDomain}, c.rng.Float64)
}
