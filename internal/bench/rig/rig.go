// Package rig runs a whole deployment as real processes on loopback: the
// stand-ins, the daemons and optionally a fault proxy on every connection.
// The benchmark commands and integration tests use it.
//
// # Usage
//
//	r, err := rig.Start(ctx, rig.Options{
//		Banyanshift: path, Banyanbench: self, Dir: dir,
//		Scenario: scenario.Halvorsen(), DaemonCount: 3, Clock: clock.System(),
//	})
//	defer r.Close()
//	l := r.NewLoad(seed)
//	l.Run(ctx)
//	records, err := r.Records(ctx)
package rig

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/load"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// Options configures a Rig.
type Options struct {
	// Banyanshift and Banyanbench are the paths of the two programs.
	Banyanshift string
	Banyanbench string
	// Dir is where settings files and logs are written.
	Dir         string
	Scenario    scenario.Scenario
	DaemonCount int
	Seed        uint64
	// Proxy routes every connection through the fault proxy.
	Proxy bool
	// Policy is the daemons' scheduling policy; Broker when empty.
	Policy string
	// LogLevel is the daemons' log level; info when empty.
	LogLevel string
	// DaemonLines are further lines of the section Daemon in the daemons' settings.
	DaemonLines []string
	// EngineFlags and PlatformFlags are passed to the stand-ins.
	EngineFlags   []string
	PlatformFlags []string
	Clock         clock.Clock
}

// Rig is a running deployment.
type Rig struct {
	Options
	Balancer *load.Balancer
	Keys     *load.Keyring

	platform      *Process
	platformURL   string
	proxy         *Process
	proxyURL      string
	hosts         []*Process
	hostURLs      []string
	operatorToken string
	ports         *portPool
	ctx           context.Context
	cancel        context.CancelFunc

	mu      sync.Mutex
	daemons []*Daemon
	// startedDaemons counts all daemons started so far; it numbers their IDs.
	startedDaemons int
}

// readyTimeout bounds each wait of a deployment's start, and the retries of an
// operator's call.
const readyTimeout = 60 * clock.Second

// Start starts a deployment and waits until it serves requests.
func Start(ctx context.Context, opts Options) (r *Rig, err error) {
	defer func() { err = oops.Wrapf(err, "start deployment %s", opts.Scenario.Name) }()
	r = &Rig{Options: opts, Keys: load.NewKeyring(), Balancer: load.NewBalancer("/readyz", opts.Clock), ports: newPortPool()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.operatorToken = fmt.Sprintf("operator-token-%d", opts.Seed)
	for _, step := range []func(context.Context) error{
		r.startStandins, r.startEndpoints, r.startDaemons, r.configure, r.waitReady,
	} {
		if err := step(ctx); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

func (r *Rig) startStandins(context.Context) (err error) {
	seed := strconv.FormatUint(max(r.Seed, 1), 10)
	args := append([]string{"platform", "--seed", seed}, r.PlatformFlags...)
	r.platform, r.platformURL, err = startListening(r.Dir, "platform", r.Banyanbench, args)
	if err != nil {
		return err
	}
	if r.Proxy {
		r.proxy, r.proxyURL, err = startListening(r.Dir, "proxy", r.Banyanbench, []string{"proxy", "--seed", seed})
		if err != nil {
			return err
		}
	}
	if err := r.startHost("engine", seed, r.EngineFlags); err != nil {
		return err
	}
	return r.startHost("service", seed, nil)
}

func (r *Rig) startHost(verb, seed string, flags []string) error {
	args := []string{
		verb, "--seed", seed, "--platform", r.platformURL, "--region", r.Scenario.Region,
		"--domains", strings.Join(r.Scenario.FailureDomains, ","),
	}
	if r.Proxy {
		args = append(args, "--proxy", r.proxyURL)
	}
	process, url, err := startListening(r.Dir, verb, r.Banyanbench, append(args, flags...))
	if err != nil {
		return err
	}
	r.hosts = append(r.hosts, process)
	r.hostURLs = append(r.hostURLs, url)
	return nil
}

func (r *Rig) startEndpoints(ctx context.Context) error {
	for _, pool := range r.Scenario.Pools {
		for _, domain := range r.Scenario.FailureDomains {
			for i := range pool.FirmPerDomain + pool.CheapPerDomain {
				market := entity.Firm
				if i >= pool.FirmPerDomain {
					market = entity.Cheap
				}
				startOrder := order.Order{
					Kind: order.Start, Backend: pool.Backend, Model: pool.Model, FailureDomain: domain,
					Market: market, EndpointID: fmt.Sprintf("%s-%s-%d", pool.Backend, domain, i),
				}
				if err := r.CallPlatform(ctx, http.MethodPost, "/control/start", startOrder, nil); err != nil {
					return err
				}
			}
		}
	}
	return r.waitEndpoints(ctx)
}

func (r *Rig) waitEndpoints(ctx context.Context) error {
	want := 0
	for _, pool := range r.Scenario.Pools {
		want += len(r.Scenario.FailureDomains) * (pool.FirmPerDomain + pool.CheapPerDomain)
	}
	return r.waitFor(ctx, "the endpoints", func() bool {
		var listed []entity.Endpoint
		err := r.CallPlatform(ctx, http.MethodGet, "/endpoints", nil, &listed)
		return err == nil && len(listed) >= want
	})
}

const pollInterval = 50 * clock.Millisecond

// waitFor polls a condition for at most readyTimeout.
func (r *Rig) waitFor(ctx context.Context, what string, condition func() bool) error {
	deadline := r.Clock.Now() + readyTimeout
	for !condition() {
		if r.Clock.Now() > deadline {
			return fmt.Errorf("%s were not ready within %s; see the logs in %s", what, readyTimeout, r.Dir)
		}
		if err := r.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) startDaemons(ctx context.Context) error {
	for range r.DaemonCount {
		if _, err := r.StartDaemon(ctx); err != nil {
			return err
		}
	}
	go r.Balancer.Run(r.ctx)
	return nil
}

// waitReady waits until every daemon is ready and accepts the key that was
// created last.
func (r *Rig) waitReady(ctx context.Context) error {
	return r.waitFor(ctx, "the daemons", func() bool {
		return r.Balancer.ReadyCount() >= r.DaemonCount && r.lastKeyAccepted(ctx)
	})
}

func (r *Rig) lastKeyAccepted(ctx context.Context) bool {
	keys := r.Keys.Active(r.Scenario.Teams[len(r.Scenario.Teams)-1].Name)
	for _, d := range r.ActiveDaemons() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Caller+"/v1/models", http.NoBody)
		if err != nil {
			return false
		}
		request.Header.Set("Authorization", "Bearer "+keys[len(keys)-1].Secret)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// CallPlatform calls the platform stand-in directly, without the proxy.
func (r *Rig) CallPlatform(ctx context.Context, method, path string, in, out any) error {
	return rest.New(r.platformURL, http.DefaultClient).Call(ctx, method, path, in, out)
}

// CallProxy posts a control call to the fault proxy.
func (r *Rig) CallProxy(ctx context.Context, path string, in, out any) error {
	return rest.New(r.proxyURL, http.DefaultClient).Call(ctx, http.MethodPost, path, in, out)
}

// SetEndpointFault sets the faults of an endpoint. It sends them to every
// stand-in host and returns the error of the last one.
func (r *Rig) SetEndpointFault(ctx context.Context, id string, fault host.Fault) (err error) {
	for _, url := range r.hostURLs {
		ref := host.EndpointRef{ID: id, Fault: fault}
		err = rest.New(url, http.DefaultClient).Call(ctx, http.MethodPost, "/control/fault", ref, nil)
	}
	return err
}

// addressViaProxy returns the address of a proxy link to target with the given
// name, or target itself without the proxy.
func (r *Rig) addressViaProxy(ctx context.Context, name, target string) (string, error) {
	if !r.Proxy {
		return target, nil
	}
	var answer host.ProxyAddress
	err := r.CallProxy(ctx, "/links", host.ProxyLink{Name: name, Target: target}, &answer)
	return answer.Address, err
}

// Records holds the records of all stand-ins.
type Records struct {
	Platform record.Platform
	Hosts    []record.Host
}

// Records collects the records of the stand-ins.
func (r *Rig) Records(ctx context.Context) (records Records, err error) {
	defer func() { err = oops.Wrapf(err, "collect records") }()
	if err = r.CallPlatform(ctx, http.MethodGet, "/record", nil, &records.Platform); err != nil {
		return records, err
	}
	for _, url := range r.hostURLs {
		var one record.Host
		if err = rest.New(url, http.DefaultClient).Call(ctx, http.MethodGet, "/record", nil, &one); err != nil {
			return records, err
		}
		records.Hosts = append(records.Hosts, one)
	}
	return records, nil
}

const (
	drainTimeout    = 30 * clock.Second
	maxOpenRequests = 2000
	retryDelay      = 200 * clock.Millisecond
)

// NewLoad returns a load that sends the scenario's flows.
func (r *Rig) NewLoad(seed uint64) *load.Load {
	return load.New(load.Config{
		Seed: seed, Flows: r.Scenario.Flows, Keys: r.Keys, Balancer: r.Balancer,
		DrainTimeout: drainTimeout, MaxInFlight: maxOpenRequests, RetryDelay: retryDelay,
	}, r.Clock)
}

const (
	daemonGrace  = 20 * clock.Second
	standinGrace = 2 * clock.Second
)

// StopDaemons ends all daemons gracefully and waits until they exit.
func (r *Rig) StopDaemons() {
	var wg sync.WaitGroup
	for _, d := range r.ActiveDaemons() {
		wg.Go(func() { d.Process.Stop(daemonGrace) })
	}
	wg.Wait()
}

// Close ends every process of the deployment.
func (r *Rig) Close() {
	r.cancel()
	r.StopDaemons()
	for _, process := range slices.Concat(r.hosts, []*Process{r.proxy, r.platform}) {
		if process != nil {
			process.Stop(standinGrace)
		}
	}
}

// The ports are outside the range that the system uses for outgoing
// connections, so that a free one stays free until it is used.
const (
	firstPort = 12000
	lastPort  = 31000
)

// portPool returns each port once, so that two processes never get the same
// address while the first does not listen yet.
type portPool struct {
	mu   sync.Mutex
	next int
}

func newPortPool() *portPool {
	return &portPool{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// freeAddress returns a loopback address that no process listens on.
func (p *portPool) freeAddress() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var config net.ListenConfig
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		if p.next++; p.next == lastPort {
			p.next = firstPort
		}
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
