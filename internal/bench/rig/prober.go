package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// ConfigProber puts new versions of one setting in force and probes which
// version each daemon uses. The setting is the prefix of a route that is open
// to all, so that a probe is an ordinary call without a key.
type ConfigProber struct {
	rig    *Rig
	client *http.Client

	mu sync.Mutex
	// proposedVersion is the newest version that may be in force; the
	// call that sets it may still be in flight.
	proposedVersion int
	revision        uint64
	changes         []verdict.ConfigChange
	probes          []verdict.ConfigProbe
}

const (
	probeInterval = 250 * clock.Millisecond
	probeTimeout  = 2 * clock.Second
	// probeAttempts allows for a change of the setting during a probe.
	probeAttempts = 3
)

// NewConfigProber returns a ConfigProber of the rig's daemons.
func (r *Rig) NewConfigProber() *ConfigProber {
	return &ConfigProber{rig: r, client: &http.Client{Timeout: probeTimeout.Duration()}}
}

// PutNextVersion puts the next version in force through one daemon.
func (p *ConfigProber) PutNextVersion(ctx context.Context, d *Daemon) (err error) {
	defer func() { err = oops.Wrapf(err, "change the probed setting") }()
	p.mu.Lock()
	p.proposedVersion++
	version, revision := p.proposedVersion, p.revision
	p.mu.Unlock()
	s := p.rig.Scenario
	request := &operatorv1.PutRouteRequest{
		RequestID:        fmt.Sprintf("watch-%d", version),
		ExpectedRevision: revision,
		Route: &operatorv1.Route{
			Name: "watch", Backend: s.Backends[1].Name, Prefix: versionPrefix(version),
			Classes: []string{s.Classes[len(s.Classes)-1].Name}, OpenToAll: true,
		},
	}
	var response *operatorv1.ChangeResponse
	err = p.rig.WithOperator(d, func(o *Operator) error {
		return p.rig.RetryCall(ctx, o, func(ctx context.Context) (err error) {
			response, err = operatorv1.NewRoutesClient(o.conn).Put(ctx, request)
			return err
		})
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, changed := range response.GetRevisions() {
		p.revision = changed.GetRevision()
	}
	p.changes = append(p.changes, verdict.ConfigChange{Version: version, Accepted: p.rig.Clock.Wall()})
	return nil
}

func versionPrefix(version int) string {
	return fmt.Sprintf("/watch/%d", version)
}

// Run probes all daemons until ctx ends.
func (p *ConfigProber) Run(ctx context.Context) {
	for {
		var wg sync.WaitGroup
		for _, d := range p.rig.ActiveDaemons() {
			wg.Go(func() { p.probe(ctx, d) })
		}
		wg.Wait()
		if p.rig.Clock.Sleep(ctx, probeInterval) != nil {
			return
		}
	}
}

func (p *ConfigProber) probe(ctx context.Context, d *Daemon) {
	sent := p.rig.Clock.Wall()
	p.mu.Lock()
	newest := p.proposedVersion
	p.mu.Unlock()
	if newest == 0 {
		return
	}
	for range probeAttempts {
		for version := newest; version > 0 && version >= newest-2; version-- {
			inForce, conclusive := p.checkVersion(ctx, d, version)
			if !conclusive {
				return
			}
			if inForce {
				p.recordProbe(verdict.ConfigProbe{Daemon: d.ID, Sent: sent, Version: version})
				return
			}
		}
	}
	p.recordProbe(verdict.ConfigProbe{Daemon: d.ID, Sent: sent})
}

func (p *ConfigProber) recordProbe(probe verdict.ConfigProbe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes = append(p.probes, probe)
}

// checkVersion requests the path of a version from a daemon. The result is
// inconclusive if the daemon cannot be reached or serves no requests at all.
func (p *ConfigProber) checkVersion(ctx context.Context, d *Daemon, version int) (inForce, conclusive bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Caller+versionPrefix(version)+"/x", http.NoBody)
	if err != nil {
		return false, false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return false, false
	}
	if response.StatusCode == http.StatusOK {
		return true, true
	}
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	switch body.Error.Code {
	case "route_unknown":
		return false, true
	case "not_ready", "shutting_down", "store_unavailable":
		return false, false
	}
	return true, response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
}

// AddTo adds the changes and probes so far to the input of an evaluation.
func (p *ConfigProber) AddTo(in *verdict.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in.ConfigChanges = append(in.ConfigChanges, p.changes...)
	in.ConfigProbes = append(in.ConfigProbes, p.probes...)
}

// WithdrawKey withdraws a team's key through one daemon. From then on the load
// uses it only in the flows that test withdrawn keys; open streams go on.
func (r *Rig) WithdrawKey(ctx context.Context, d *Daemon, team, keyID string) (result verdict.Withdrawal, err error) {
	defer func() { err = oops.Wrapf(err, "withdraw key %s of %s", keyID, team) }()
	r.Keys.Withdraw(team, keyID)
	err = r.WithOperator(d, func(o *Operator) error {
		keys := operatorv1.NewKeysClient(o.conn)
		var key *operatorv1.Key
		err := r.RetryCall(ctx, o, func(ctx context.Context) (err error) {
			key, err = keys.Get(ctx, &operatorv1.GetRequest{Name: keyID})
			return err
		})
		if err != nil {
			return err
		}
		requested := r.Clock.Wall()
		request := &operatorv1.WithdrawKeyRequest{RequestID: "withdraw-" + keyID, ExpectedRevision: key.GetRevision(), ID: keyID}
		return r.RetryCall(ctx, o, func(ctx context.Context) error {
			response, err := keys.Withdraw(ctx, request)
			result = verdict.Withdrawal{KeyID: keyID, Team: team, Requested: requested, Accepted: r.Clock.Wall(), Pending: response.GetPending()}
			return err
		})
	})
	return result, err
}
