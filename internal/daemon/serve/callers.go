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

// Rows of the claims.
const (
	claimPrefix   = "Claim/"
	claimEpochKey = "ClaimEpoch"
)

// claimsPerSecond is how many transactions the fleet may spend on claims.
const claimsPerSecond = 200

// buildCallers builds the callers' interface.
func (d *Daemon) buildCallers() error {
	tlsConfig, err := serverTLS(d.settings.Caller.Certificate, d.settings.Caller.CertificateKey)
	if err != nil {
		return err
	}
	d.callers = entry.New(entry.Dependencies{
		Settings: d.settings.Caller, TLS: tlsConfig, Clock: d.clock, Logger: d.logger,
		State: d.state, Ready: d.follower.Ready, NewID: d.newRequestID,
	})
	retries := newRetryBudget()
	record := d.recorder(retries)
	scheduler := d.counter.Wrap(d.broker.Scheduler())
	models := openai.New(openai.Dependencies{
		Clock: d.clock, Logger: d.logger, State: d.state, Engine: d.engines,
		Scheduler: scheduler, TakeRetry: retries.mayRetry, RecordUsage: record,
	})
	d.callers.Handle(http.MethodPost, openai.ChatPath, models.Chat)
	d.callers.Handle(http.MethodPost, openai.CompletionPath, models.Completion)
	d.callers.Handle(http.MethodGet, openai.ModelsPath, models.Models)
	services := plain.New(plain.Dependencies{
		Clock: d.clock, Logger: d.logger, State: d.state, Service: service.New(d.clients),
		Scheduler: scheduler, Claims: d.buildClaims(), TakeRetry: retries.mayRetry, RecordUsage: record,
	})
	d.callers.HandleUnmatched(services.Serve)
	return nil
}

func (d *Daemon) buildClaims() *claim.Claims {
	d.relays = claim.NewForwarder(claim.ForwarderConfig{
		Link: d.link, Clock: d.clock, Table: d.table, Self: d.self(), View: d.members.View, TransactionsPerSecond: claimsPerSecond,
	})
	d.claimStore = coordclaim.New(coordclaim.Config{
		Table: d.table, Clock: d.clock, Prefix: claimPrefix, EpochKey: claimEpochKey,
		Owner: d.settings.Daemon.ID, Incarnation: d.incarnation,
		CommitInterval: d.relays.Pace, Forward: d.relays.Forward,
	})
	claim.RegisterLookup(d.link, d.claimStore)
	return claim.New(claim.Config{
		Store: d.claimStore, Clock: d.clock, Logger: d.logger, OwnerAlive: d.ownerAlive,
		RemoteLookup: claim.NewRemoteLookup(d.link, d.addressOf),
	})
}

// ownerAlive reports whether the daemon that made a claim may still be running.
func (d *Daemon) ownerAlive(owner, _ string) bool {
	for _, m := range d.members.View() {
		if m.ID == owner {
			// One that is leaving still answers what it has taken.
			return m.State != member.Dead
		}
	}
	return false
}

// recorder returns the end of the request path: what a request is billed for.
func (d *Daemon) recorder(retries *retryBudget) func(req *request.Request, promptTokens, outputTokens int) {
	return func(req *request.Request, promptTokens, outputTokens int) {
		retries.succeeded(req)
		d.meter.Record(meter.Usage{
			RequestID: req.ID, Team: req.Team, Class: req.Class, Backend: req.Backend,
			PromptTokens: promptTokens, OutputTokens: outputTokens, Ended: d.clock.Now(),
		})
	}
}

// serverTLS returns nil when no certificate is configured.
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
