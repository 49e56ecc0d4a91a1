package rig

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/platform/vmlist"
)

// Daemon is one daemon of a deployment.
type Daemon struct {
	ID            string
	FailureDomain string
	// Operator, Peer and Metrics are the listen addresses of its interfaces.
	// Caller is the address for callers, which is the proxy's if there is one.
	Caller   string
	Operator string
	Peer     string
	Metrics  string
	Process  *Process
	// StopRequested is when Drain sent SIGTERM, in Unix milliseconds.
	StopRequested clock.Millis
	// Killed reports whether Kill ended it, without a graceful shutdown.
	Killed bool
}

// readinessDelay is how long a daemon still accepts requests while it shuts
// down.
const readinessDelay = 1500 * clock.Millisecond

// usageWindow is the length of the windows in which usage is billed.
const usageWindow = 2 * clock.Second

// StartDaemon starts one more daemon. Daemons are spread over the failure
// domains round-robin.
func (r *Rig) StartDaemon(ctx context.Context) (d *Daemon, err error) {
	defer func() { err = oops.Wrapf(err, "start daemon") }()
	r.mu.Lock()
	r.startedDaemons++
	number := r.startedDaemons
	r.mu.Unlock()
	d = &Daemon{ID: fmt.Sprintf("entry-%d", number)}
	d.FailureDomain = r.Scenario.FailureDomains[(number-1)%len(r.Scenario.FailureDomains)]
	for _, address := range []*string{&d.Caller, &d.Operator, &d.Peer, &d.Metrics} {
		if *address, err = r.ports.freeAddress(); err != nil {
			return nil, err
		}
	}
	settings, err := r.writeSettings(ctx, d)
	if err != nil {
		return nil, err
	}
	if err := r.registerVM(ctx, d); err != nil {
		return nil, err
	}
	d.Process, err = startProcess(r.Dir, d.ID, r.Banyanshift, []string{"serve", "--settings", settings}, nil)
	if err != nil {
		return nil, err
	}
	if d.Caller, err = r.addressViaProxy(ctx, "caller/"+d.ID, d.Caller); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	r.Balancer.Put(d.ID, "http://"+d.Caller)
	return d, nil
}

func (r *Rig) writeSettings(ctx context.Context, d *Daemon) (path string, err error) {
	platform, err := r.addressViaProxy(ctx, "platform/"+d.ID, strings.TrimPrefix(r.platformURL, "http://"))
	if err != nil {
		return "", err
	}
	advertise, err := r.addressViaProxy(ctx, "peer/any/"+d.ID, d.Peer)
	if err != nil {
		return "", err
	}
	url := "http://" + platform + "/as/" + d.ID
	policy, level := r.Policy, r.LogLevel
	if policy == "" {
		policy = "Broker"
	}
	if level == "" {
		level = "info"
	}
	lines := []string{
		"[Daemon]", "ID = " + d.ID, "Region = " + r.Scenario.Region, "FailureDomain = " + d.FailureDomain,
		"ReadinessDelay = " + readinessDelay.String(), "UsageWindow = " + usageWindow.String(), "Policy = " + policy, strings.Join(r.DaemonLines, "\n"),
		"[Caller]", "Listen = " + d.Caller,
		"[Operator]", "Listen = " + d.Operator,
		"[Operator.Tokens]", "rig = " + hashToken(r.operatorToken),
		"[Peer]", "Listen = " + d.Peer, "Advertise = " + advertise,
		"[Platform]", "TableURL = " + url, "ObjectURL = " + url, "VMListURL = " + url, "OrderURL = " + url, "UsageURL = " + url,
		"[Metrics]", "Listen = " + d.Metrics,
		"[Log]", "Level = " + level, "",
	}
	path = filepath.Join(r.Dir, d.ID+".ini")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600)
}

// registerVM adds the daemon to the VM list. With the proxy it first gives
// every pair of daemons a link of its own.
func (r *Rig) registerVM(ctx context.Context, d *Daemon) error {
	if r.Proxy {
		if err := r.registerPeerAddresses(ctx, d); err != nil {
			return err
		}
	}
	vm := vmlist.VM{ID: d.ID, Address: d.Peer, Region: r.Scenario.Region, FailureDomain: d.FailureDomain}
	return r.CallPlatform(ctx, http.MethodPut, "/vms/"+d.ID, vm, nil)
}

func (r *Rig) registerPeerAddresses(ctx context.Context, added *Daemon) error {
	all := append(r.ActiveDaemons(), added)
	for _, viewer := range all {
		addresses := make(map[string]string)
		for _, seen := range all {
			address, err := r.addressViaProxy(ctx, "peer/"+viewer.ID+"/"+seen.ID, seen.Peer)
			if err != nil {
				return err
			}
			addresses[seen.ID] = address
		}
		if err := r.CallPlatform(ctx, http.MethodPut, "/views/"+viewer.ID, addresses, nil); err != nil {
			return err
		}
	}
	return nil
}

// ActiveDaemons returns the daemons that were started and not killed or
// drained since.
func (r *Rig) ActiveDaemons() []*Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Daemon(nil), r.daemons...)
}

// Kill ends a daemon with SIGKILL and removes its VM from the VM list.
func (r *Rig) Kill(ctx context.Context, d *Daemon) error {
	d.Killed = true
	d.Process.Signal(syscall.SIGKILL)
	<-d.Process.Done()
	return r.removeDaemon(ctx, d)
}

// Drain ends a daemon with SIGTERM, waits until it exits and removes its VM
// from the VM list. After grace the daemon gets SIGKILL.
func (r *Rig) Drain(ctx context.Context, d *Daemon, grace clock.Millis) error {
	d.StopRequested = r.Clock.Wall()
	d.Process.Stop(grace)
	return r.removeDaemon(ctx, d)
}

func (r *Rig) removeDaemon(ctx context.Context, d *Daemon) error {
	r.mu.Lock()
	remaining := r.daemons[:0:0]
	for _, other := range r.daemons {
		if other != d {
			remaining = append(remaining, other)
		}
	}
	r.daemons = remaining
	r.mu.Unlock()
	r.Balancer.Remove(d.ID)
	return r.CallPlatform(ctx, http.MethodDelete, "/vms/"+d.ID, nil, nil)
}
