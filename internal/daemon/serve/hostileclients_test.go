package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/standin/hostile"
)

const (
	// hostileMemory and hostileDescriptors are the limits of the daemon in the tests with hostile clients.
	hostileMemory      = 128 << 20
	hostileDescriptors = 700
	// hostileStay is how long the clients stay at each of their two numbers.
	hostileStay = 3 * clock.Second
	// longestBody is the default of Caller.MaxBodyBytes.
	longestBody = 4 << 20
)

// buildPrograms builds the programs and returns their directory.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir+"/", "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// startLimitedDaemon starts a deployment with one daemon that has these limits.
func startLimitedDaemon(t *testing.T, programs string) (*rig.Rig, *rig.Daemon) {
	r, err := rig.Start(context.Background(), rig.Options{
		Banyanshift: filepath.Join(programs, "banyanshift"), Banyanbench: filepath.Join(programs, "banyanbench"), Dir: t.TempDir(),
		Scenario: scenario.Halvorsen(), DaemonCount: 1, Clock: clock.System(),
		DaemonLines: []string{fmt.Sprintf("MemoryLimit = %dMiB", hostileMemory>>20), fmt.Sprint("MaxDescriptors = ", hostileDescriptors)},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, r.ActiveDaemons()[0]
}

// waitServed waits until an ordinary request is answered.
func waitServed(t *testing.T, address, when string) {
	t.Helper()
	waitRequestServed(t, when, func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+address+"/status/today", http.NoBody)
	})
}

// waitRequestServed waits until a request is answered that newRequest returns.
func waitRequestServed(t *testing.T, when string, newRequest func() (*http.Request, error)) {
	t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		request, err := newRequest()
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("timed out waiting until an ordinary request is served %s the clients", when)
}

// TestHostileClientsStayWithinTheLimitsOfADaemon guards against a daemon that is killed, or serves
// nobody, since many hostile clients make it hold more than its machine has. Twice as many may not need
// more.
func TestHostileClientsStayWithinTheLimitsOfADaemon(t *testing.T) {
	programs := buildPrograms(t)
	const start = "POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\n"
	for name, test := range map[string]struct {
		size     int
		behavior func(head string) hostile.Behavior
	}{
		"unfinished bodies":  {200, func(head string) hostile.Behavior { return hostile.Unfinished(head, longestBody) }},
		"chunks without end": {300, hostile.EndlessChunks},
		"chunks of one byte": {300, hostile.ByteChunks},
		"announced bodies":   {900, hostile.Announced},
		"unknown keys": {900, func(string) hostile.Behavior {
			return hostile.EndlessChunks(start + "Authorization: Bearer unknown\r\n")
		}},
		"heads of one field":   {600, hostile.LongField},
		"heads of many fields": {600, hostile.ManyFields},
		"silent connections":   {900, func(string) hostile.Behavior { return hostile.Silent() }},
		"unread answers": {300, func(string) hostile.Behavior {
			return hostile.UnreadAnswers("GET /status/today HTTP/1.1\r\nHost: h.example\r\n")
		}},
		"random": {300, func(head string) hostile.Behavior {
			return hostile.Random(1, head, start, "GET /status/today HTTP/1.1\r\nHost: h.example\r\n", "POST /none HTTP/1.1\r\nHost: h.example\r\n")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r, d := startLimitedDaemon(t, programs)
			head := start + "Authorization: Bearer " + r.Keys.Active("stats-manitoba")[0].Secret + "\r\n"
			watch := hostile.Watch{PID: d.Process.PID(), Address: netip.MustParseAddrPort(d.Caller), Interval: 5 * clock.Millisecond}
			watch.Start()
			c := hostile.Start(d.Caller, test.size, test.behavior(head))
			time.Sleep(hostileStay.Duration())
			c.Grow(test.size)
			time.Sleep(hostileStay.Duration())
			waitServed(t, d.Caller, "beside")
			c.Stop()
			waitServed(t, d.Caller, "after")
			expectWithinLimits(t, &watch)
		})
	}
}

// expectWithinLimits ends a watch, and checks that the daemon never held more than its limits.
func expectWithinLimits(t *testing.T, watch *hostile.Watch) {
	t.Helper()
	peak, err := watch.Stop()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("at most %v", peak)
	if peak.Memory() > hostileMemory {
		t.Errorf("the daemon held %v, want at most %d MiB", peak.Usage, hostileMemory>>20)
	}
	if peak.Descriptors > hostileDescriptors {
		t.Errorf("the daemon had %d descriptors, want at most %d", peak.Descriptors, hostileDescriptors)
	}
}
