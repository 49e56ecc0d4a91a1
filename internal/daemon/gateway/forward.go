package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/path"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
)

// buildConnections builds the ways to endpoints: this daemon's own connections, and peers.
func (d *Daemon) buildConnections() {
	d.pool = http1.New(http1.Config{
		Clock: d.clock, AnsweredID: d.platform.AnsweredID, Listed: d.listedIncarnation, ConfirmEnd: d.confirmEnd, Dial: d.platform.DialEndpoint,
		Memory: d.memory,
	})
	client := forward.NewClient(d.clock, d.forwardPort(), d.memory)
	d.connector = connect.New(connect.Config{
		Clock: d.clock, Logger: d.logger, Pool: d.pool, Open: client.Open, Peers: d.forwardingPeers,
		FailureDomain: d.settings.Daemon.FailureDomain, Rand: d.random(6),
		Report: d.platform.Wire.Report,
	})
	d.forwarding = forward.NewServer(forward.ServerConfig{
		Clock: d.clock, Logger: d.logger, Listen: d.settings.Peer.Forward, Connect: d.connectForPeer, RecordAnswer: d.recordForwardedAnswer, Memory: d.memory,
	})
}

// listedIncarnation returns the incarnation of an endpoint, 0 if none is known.
func (d *Daemon) listedIncarnation(endpoint string) int64 {
	return d.scheduler.Endpoint(endpoint).Incarnation
}

// confirmEnd returns an error unless the incarnation that began an answer is still there.
func (d *Daemon) confirmEnd(ctx context.Context, process http1.Process) error {
	return d.connector.ConfirmEnd(ctx, process)
}

// forwardPort returns the port at which all daemons forward requests, "" if they do not.
func (d *Daemon) forwardPort() string {
	_, port, err := net.SplitHostPort(d.settings.Peer.Forward)
	if err != nil {
		return ""
	}
	return port
}

// forwardingPeers returns the daemons that may forward requests.
func (d *Daemon) forwardingPeers() []path.Peer {
	if d.settings.Peer.Forward == "" {
		return nil
	}
	vms := d.fleet.LivingVMs()
	peers := make([]path.Peer, 0, len(vms))
	for _, vm := range vms {
		peers = append(peers, path.Peer{Address: vm.Address, FailureDomain: vm.FailureDomain})
	}
	return peers
}

// connectForPeer connects to an endpoint for a request of a peer, unless the endpoint is to
// get no requests as far as this daemon knows.
func (d *Daemon) connectForPeer(ctx context.Context, target forward.Target) (*http1.Conn, error) {
	if !d.scheduler.Accepts(target.Endpoint, target.Address) {
		return nil, &forward.Refusal{Code: forward.Unsuitable, Reason: "the endpoint is unknown, is leaving or wants no requests"}
	}
	return d.connector.ConnectForPeer(ctx, target)
}

// recordForwardedAnswer records what an endpoint says of itself in an answer to a peer's
// request.
func (d *Daemon) recordForwardedAnswer(target forward.Target, status int, header http.Header) {
	head := d.platform.Wire.DecodeAnswer(status, header)
	if head.Misdirected && head.Endpoint != target.Endpoint {
		return
	}
	d.relayScheduler.RecordSignals(relay.Placement{Endpoint: target.Endpoint, Incarnation: d.scheduler.Endpoint(target.Endpoint).Incarnation}, head)
}

// startForwarding starts to forward requests of peers if the settings say where.
func (d *Daemon) startForwarding() error {
	if d.settings.Peer.Forward == "" {
		return nil
	}
	return d.forwarding.Start()
}
