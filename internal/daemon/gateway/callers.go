package gateway

import (
	"net/http"

	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
)

// buildCallers builds the servers for callers and for the readiness check.
func (d *Daemon) buildCallers() {
	d.relayScheduler = d.fleet.RelayScheduler()
	d.handler = relay.New(relay.Config{
		Streams: relay.Streams{Record: d.fleet.RecordStream, Check: d.fleet.CheckStart, Prove: d.fleet.ProveStart, Doubt: d.fleet.DoubtStart, Find: d.fleet.FindStream},
		Quarantine: relay.Quarantine{
			Active: d.crashes.Active, Admit: d.crashes.Admit, RecordLost: d.crashes.RecordLost, RecordSound: d.crashes.RecordSound, RecordAnswer: d.crashes.RecordAnswer,
		},
		Clock: d.clock, Logger: d.logger, Wire: d.platform.Wire, Connect: d.connector.Connect, Scheduler: d.relayScheduler,
		Configuration: d.currentConfiguration, RecordStarted: d.tally.Add, Memory: d.memory, FailureDomain: d.settings.Daemon.FailureDomain,
	})
	caller := d.settings.Caller
	d.callers = keepalive.New(&http.Server{
		Handler: d.handler, MaxHeaderBytes: caller.MaxHeaderBytes, ErrorLog: nil,
		ReadHeaderTimeout: caller.HeaderTimeout.Duration(), IdleTimeout: caller.IdleTimeout.Duration(),
	}, nil, d.callerLimits(), d.logger)
	d.memory.Reclaim = d.callers.Reclaim
	mux := http.NewServeMux()
	mux.HandleFunc(d.settings.Readiness.Path, d.serveReadiness)
	d.ready = &http.Server{Handler: mux, ReadHeaderTimeout: caller.HeaderTimeout.Duration()}
}

// callerLimits returns the limits of what callers may hold.
func (d *Daemon) callerLimits() keepalive.Limits {
	return keepalive.Limits{Connections: d.limits.Connections, Memory: d.memory}
}

// currentConfiguration returns the configuration in force for the request path.
func (d *Daemon) currentConfiguration() relay.Configuration {
	index, confirmedAt := d.document.Current()
	current, isolated := d.fleet.ConfigStatus()
	return relay.Configuration{Index: index, Age: d.clock.Now() - confirmedAt, Current: current, Isolated: isolated}
}

// serveReadiness answers the readiness check of the load balancer.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the load balancer should send new connections: the daemon
// is not stopping or isolated, and knows a configuration and the endpoints.
func (d *Daemon) isReady() bool {
	config := d.currentConfiguration()
	return !d.stopping.Load() && config.Index != nil && !config.Isolated && d.roster.State().Known
}
