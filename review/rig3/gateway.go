//go:build review

package rig3

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the gateway as the deploy file builds it, below the root of the repository.
const program = "target/banyangateway"

// mostSeeds is the largest number of seeds.
const mostSeeds = 3

// Ports of a gateway, as offsets from the first one.
const (
	portFront = iota
	portReady
	portPeer
	portForward
	portMetrics
	portCount
)

// Machine is a machine that runs a gateway.
type Machine struct {
	Name, Zone, IP string
	// Number is the place of the machine in its zone, from 1 on.
	Number  int
	fleet   *Fleet
	command *exec.Cmd
	exited  chan struct{}
}

// Fleet is the machines of a deployment.
type Fleet struct {
	Machines []*Machine
	// SeedInEachZone makes the first machine of each zone a seed. The seeds are the first three
	// machines otherwise.
	SeedInEachZone bool

	store *Store
	dir   string
	port  int
}

// NewFleet returns a fleet without machines that keeps its files in a folder.
func NewFleet(store *Store, dir string) *Fleet {
	return &Fleet{store: store, dir: dir}
}

// Zones are the zones of a small deployment.
var Zones = []string{"sask-central-a", "sask-central-b", "sask-central-c"}

// smallCounts is the number of machines in each of Zones.
var smallCounts = []int{3, 3, 2}

// Add adds a machine to one of Zones. It does not run yet.
func (f *Fleet) Add(zone int) *Machine {
	number := 1
	for _, m := range f.Machines {
		if m.Zone == Zones[zone] {
			number++
		}
	}
	m := &Machine{
		Name: fmt.Sprintf("front-%s-%d", Zones[zone], number), Zone: Zones[zone], Number: number,
		IP: fmt.Sprintf("127.0.%d.%d", zone+1, number), fleet: f,
	}
	f.Machines = append(f.Machines, m)
	return m
}

// AddSmall adds the machines of a small deployment.
func (f *Fleet) AddSmall() {
	for zone, count := range smallCounts {
		for range count {
			f.Add(zone)
		}
	}
}

// StartAll starts machines and waits until they are ready.
func StartAll(machines []*Machine, firstStart bool) error {
	for _, m := range machines {
		if err := m.Start(firstStart); err != nil {
			return err
		}
	}
	for _, m := range machines {
		if err := m.WaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// ChoosePorts chooses ports that are free at the addresses of all machines.
func (f *Fleet) ChoosePorts() error {
	const first, last = 21000, 29000
	start := first + (os.Getpid()*portCount)%(last-first)
	for port := start; port < last; port += portCount {
		if f.portsAreFree(port) {
			f.port = port
			return nil
		}
	}
	return fmt.Errorf("no free ports from %d", start)
}

func (f *Fleet) portsAreFree(port int) bool {
	for _, m := range f.Machines {
		for n := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.IP, port+n))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (m *Machine) address(offset int) string {
	return fmt.Sprintf("%s:%d", m.IP, m.fleet.port+offset)
}

// Front returns the address for consumers.
func (m *Machine) Front() string { return m.address(portFront) }

// settings returns the settings file, as the template of the deploy file makes it for a small
// deployment.
func (m *Machine) settings(firstStart bool) string {
	var seeds []string
	for i, other := range m.fleet.Machines {
		if (m.fleet.SeedInEachZone && other.Number == 1) || (!m.fleet.SeedInEachZone && i < mostSeeds) {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.IP, 8229))
		}
	}
	return strings.Join([]string{
		"[Daemon]", "ID = " + m.Name, "FailureDomain = " + m.Zone, "Capacity = 0.4", fmt.Sprintf("FirstStart = %t", firstStart),
		"MemoryLimit = 284MiB", "MaxDescriptors = 4100", "Grace = 8s", "",
		"[Caller]", "Listen = " + m.address(portFront), "",
		"[Readiness]", "Listen = " + m.address(portReady), "Path = /readiness", "",
		"[Peer]", "Listen = " + m.address(portPeer), "Seeds = " + strings.Join(seeds, ","), "Forward = " + m.address(portForward), "",
		"[Platform]", "Store = " + m.fleet.store.Address(), "Duties = " + m.fleet.store.Address(), "",
		"[Metrics]", "Listen = " + m.address(portMetrics), "",
		"[Bounds]", "RetryRatio = 0.2", "RetryExtra = 56", "RetryWindow = 10s", "UsageWindow = 5s", "DrainTime = 2000ms", "LeaseTime = 3000ms", "",
	}, "\n")
}

// Start starts the gateway.
func (m *Machine) Start(firstStart bool) error {
	path := filepath.Join(m.fleet.dir, m.Name+".ini")
	if err := os.WriteFile(path, []byte(m.settings(firstStart)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.command = exec.Command(program) //nolint:noctx // It is ended by Kill.
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BANYANSHIFT_SETTINGS=" + path}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(m.command, m.exited)
	return nil
}

// Signal sends a signal to the gateway.
func (m *Machine) Signal(signal syscall.Signal) {
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(signal)
	}
}

// Kill ends the gateway and waits for its end.
func (m *Machine) Kill() {
	if m.command == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	<-m.exited
}

// WaitReady waits until the readiness check of the gateway succeeds.
func (m *Machine) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if m.IsReady() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("gateway %s is not ready after %v", m.Name, limit)
}

// IsReady asks for the readiness of the gateway.
func (m *Machine) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portReady)+"/readiness", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// KillAll ends all gateways.
func (f *Fleet) KillAll() {
	for _, m := range f.Machines {
		m.Kill()
	}
}
