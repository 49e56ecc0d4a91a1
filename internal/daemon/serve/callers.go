package serve

import (
	"crypto/tls"
	"net/http"

	"github.com/samber/oops"

	coordclaim "github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/openai"
	"github.com/banyanshift/banyanshift/internal/caller/plain"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/endpoint/service"
	"github.com/banyanshift/banyanshift/internal/usage/meter"
)

const (
	claimPrefix   = "Claim/"
	claimEpochKey = "ClaimEpoch"
)

// Answers that wait to be written to the table take at most maxPendingAnswerBytes, and one in
// pendingAnswersPart of what callers may hold.
const (
	maxPendingAnswerBytes = 16 << 20
	pendingAnswersPart    = 8
)

// claimTransactionsPerSecond is the fleet's maximum rate of transactions for claims.
const claimTransactionsPerSecond = 200

// buildCallers builds the HTTP server for callers and its handlers.
func (d *Daemon) buildCallers() error {
	tlsConfig, err := serverTLS(d.settings.Caller.Certificate, d.settings.Caller.CertificateKey)
	if err != nil {
		return err
	}
	d.callers = entry.New(entry.Dependencies{
		Settings: d.settings.Caller, TLS: tlsConfig, Clock: d.clock, Logger: d.logger,
		State: d.state, Ready: d.follower.Ready, NewID: d.newRequestID,
		Memory: d.memory, Connections: d.limits.Connections,
	})
	retries := newRetryBudget()
	record := d.newUsageRecorder(retries)
	scheduler := d.counter.Wrap(d.broker.Scheduler())
	models := openai.New(openai.Dependencies{
		Clock: d.clock, Logger: d.logger, State: d.state, Engine: d.engines,
		Scheduler: scheduler, TakeRetry: retries.takeRetry, RecordUsage: record,
	})
	d.callers.Handle(http.MethodPost, openai.ChatPath, models.Chat)
	d.callers.Handle(http.MethodPost, openai.CompletionPath, models.Completion)
	d.callers.Handle(http.MethodGet, openai.ModelsPath, models.Models)
	services := plain.New(plain.Dependencies{
		Clock: d.clock, Logger: d.logger, State: d.state, Service: service.New(d.clients),
		Scheduler: scheduler, Claims: d.buildClaims(), TakeRetry: retries.takeRetry, RecordUsage: record,
	})
	d.callers.HandleUnmatched(services.Serve)
	return nil
}

func (d *Daemon) buildClaims() *claim.Claims {
	d.forwarder = claim.NewForwarder(claim.ForwarderConfig{
		Link: d.link, Clock: d.clock, Table: d.table, Self: d.self(), View: d.members.View, TransactionsPerSecond: claimTransactionsPerSecond,
	})
	d.claimStore = coordclaim.New(coordclaim.Config{
		Table: d.table, Clock: d.clock, Prefix: claimPrefix, EpochKey: claimEpochKey,
		Owner: d.settings.Daemon.ID, Incarnation: d.incarnation,
		CommitInterval: d.forwarder.CommitInterval, Forward: d.forwarder.Forward,
		MaxPendingBytes: int(min(d.limits.Held/pendingAnswersPart, maxPendingAnswerBytes)),
	})
	claim.RegisterLookup(d.link, d.claimStore)
	return claim.New(claim.Config{
		Store: d.claimStore, Clock: d.clock, Logger: d.logger, OwnerAlive: d.ownerAlive,
		RemoteLookup: claim.NewRemoteLookup(d.link, d.addressOf),
	})
}

// ownerAlive reports whether the daemon that owns a claim may still be running.
func (d *Daemon) ownerAlive(owner, _ string) bool {
	for _, m := range d.members.View() {
		if m.ID == owner {
			// A leaving daemon still completes its in-flight requests.
			return m.State != member.Dead
		}
	}
	return false
}

// newUsageRecorder returns the function that the request path calls when a request
// has succeeded. It refills the retry budget and records the billable usage.
func (d *Daemon) newUsageRecorder(retries *retryBudget) func(req *request.Request, promptTokens, outputTokens int) {
	return func(req *request.Request, promptTokens, outputTokens int) {
		retries.recordSuccess(req)
		d.meter.Record(meter.Usage{
			RequestID: req.ID, Team: req.Team, Class: req.Class, Backend: req.Backend,
			PromptTokens: promptTokens, OutputTokens: outputTokens, Ended: d.clock.Now(),
		})
	}
}

// serverTLS returns the TLS configuration for callers, or nil if no certificate is
// configured.
func serverTLS(certificate, key string) (config *tls.Config, err error) {
	defer func() { err = oops.Wrapf(err, "load certificate %s", certificate) }()
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}
