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

// ConfigProber changes a setting now and then and looks which version of it each
// daemon has in force. The setting is the prefix of a route that is open to
// all, so that a probe is an ordinary call.
type ConfigProber struct {
	rig    *Rig
	client *http.Client

	mu sync.Mutex
	// proposed is the newest version that may be in force.
	proposed int
	revision uint64
	changes  []verdict.ConfigChange
	probes   []verdict.ConfigProbe
}

const (
	probeEvery   = 250 * clock.Millisecond
	probeTimeout = 2 * clock.Second
	// probeTries allows for the setting to change between two looks.
	probeTries = 3
)

// NewConfigProber returns a Watch of the rig's daemons.
func (r *Rig) NewConfigProber() *ConfigProber {
	return &ConfigProber{rig: r, client: &http.Client{Timeout: probeTimeout.Duration()}}
}

// PutNextVersion puts the next version in force through one daemon.
func (w *ConfigProber) PutNextVersion(ctx context.Context, d *Daemon) (err error) {
	defer func() { err = oops.Wrapf(err, "change the watched setting") }()
	w.mu.Lock()
	w.proposed++
	version, revision := w.proposed, w.revision
	w.mu.Unlock()
	s := w.rig.Scenario
	request := &operatorv1.PutRouteRequest{
		RequestID:        fmt.Sprintf("watch-%d", version),
		ExpectedRevision: revision,
		Route: &operatorv1.Route{
			Name: "watch", Backend: s.Backends[1].Name, Prefix: watchPath(version),
			Classes: []string{s.Classes[len(s.Classes)-1].Name}, OpenToAll: true,
		},
	}
	var response *operatorv1.ChangeResponse
	err = w.rig.WithOperator(d, func(o *Operator) error {
		return w.rig.RetryCall(ctx, o, func(ctx context.Context) (err error) {
			response, err = operatorv1.NewRoutesClient(o.conn).Put(ctx, request)
			return err
		})
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, changed := range response.GetRevisions() {
		w.revision = changed.GetRevision()
	}
	w.changes = append(w.changes, verdict.ConfigChange{Version: version, Accepted: w.rig.Clock.Wall()})
	return nil
}

func watchPath(version int) string {
	return fmt.Sprintf("/watch/%d", version)
}

// Run probes all daemons until ctx ends.
func (w *ConfigProber) Run(ctx context.Context) {
	for {
		var wg sync.WaitGroup
		for _, d := range w.rig.ActiveDaemons() {
			wg.Go(func() { w.probe(ctx, d) })
		}
		wg.Wait()
		if w.rig.Clock.Sleep(ctx, probeEvery) != nil {
			return
		}
	}
}

func (w *ConfigProber) probe(ctx context.Context, d *Daemon) {
	sent := w.rig.Clock.Wall()
	w.mu.Lock()
	newest := w.proposed
	w.mu.Unlock()
	if newest == 0 {
		return
	}
	for range probeTries {
		for version := newest; version > 0 && version >= newest-2; version-- {
			inForce, conclusive := w.look(ctx, d, version)
			if !conclusive {
				return
			}
			if inForce {
				w.add(verdict.ConfigProbe{Daemon: d.ID, Sent: sent, Version: version})
				return
			}
		}
	}
	w.add(verdict.ConfigProbe{Daemon: d.ID, Sent: sent})
}

func (w *ConfigProber) add(probe verdict.ConfigProbe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes = append(w.probes, probe)
}

// look asks a daemon for the path of a version. A daemon that cannot be
// reached, or does not serve at all, tells nothing.
func (w *ConfigProber) look(ctx context.Context, d *Daemon, version int) (inForce, conclusive bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Caller+watchPath(version)+"/x", http.NoBody)
	if err != nil {
		return false, false
	}
	response, err := w.client.Do(request)
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

// AddTo adds what was seen to the input of a judgement.
func (w *ConfigProber) AddTo(in *verdict.Input) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in.ConfigChanges = append(in.ConfigChanges, w.changes...)
	in.ConfigProbes = append(in.ConfigProbes, w.probes...)
}

// WithdrawKey withdraws a team's key through one daemon. From then on only flows
// that try withdrawn keys use it, besides the streams that are open.
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
		asked := r.Clock.Wall()
		request := &operatorv1.WithdrawKeyRequest{RequestID: "withdraw-" + keyID, ExpectedRevision: key.GetRevision(), ID: keyID}
		return r.RetryCall(ctx, o, func(ctx context.Context) error {
			response, err := keys.Withdraw(ctx, request)
			result = verdict.Withdrawal{KeyID: keyID, Team: team, Requested: asked, Accepted: r.Clock.Wall(), Pending: response.GetPending()}
			return err
		})
	})
	return result, err
}
