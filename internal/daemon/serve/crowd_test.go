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
	"github.com/banyanshift/banyanshift/internal/standin/crowd"
)

const (
	// crowdMemory and crowdDescriptors are the limits of the daemon in the tests with a crowd.
	crowdMemory      = 128 << 20
	crowdDescriptors = 700
	// crowdStay is how long a crowd stays at each of its two sizes.
	crowdStay = 3 * clock.Second
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

// startCrowdDaemon starts a deployment with one daemon that has the limits for a crowd.
func startCrowdDaemon(t *testing.T, programs string) (*rig.Rig, *rig.Daemon) {
	r, err := rig.Start(context.Background(), rig.Options{
		Banyanshift: filepath.Join(programs, "banyanshift"), Banyanbench: filepath.Join(programs, "banyanbench"), Dir: t.TempDir(),
		Scenario: scenario.Halvorsen(), DaemonCount: 1, Clock: clock.System(),
		DaemonLines: []string{fmt.Sprintf("MemoryLimit = %dMiB", crowdMemory>>20), fmt.Sprint("MaxDescriptors = ", crowdDescriptors)},
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
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + address + "/status/today")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("timed out waiting until an ordinary request is served %s the crowd", when)
}

// TestCrowdStaysWithinTheLimitsOfADaemon guards against a daemon that is killed, or serves nobody, since a
// crowd of clients that misbehave makes it hold more than its machine has. A crowd of twice the size
// may not need more.
func TestCrowdStaysWithinTheLimitsOfADaemon(t *testing.T) {
	programs := buildPrograms(t)
	const start = "POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\n"
	for name, test := range map[string]struct {
		size     int
		behavior func(head string) crowd.Behavior
	}{
		"unfinished bodies":    {200, func(head string) crowd.Behavior { return crowd.Unfinished(head, longestBody) }},
		"chunks without end":   {300, crowd.EndlessChunks},
		"chunks of one byte":   {300, crowd.ByteChunks},
		"announced bodies":     {900, crowd.Announced},
		"unknown keys":         {900, func(string) crowd.Behavior { return crowd.EndlessChunks(start + "Authorization: Bearer unknown\r\n") }},
		"heads of one field":   {600, crowd.LongField},
		"heads of many fields": {600, crowd.ManyFields},
		"silent connections":   {900, func(string) crowd.Behavior { return crowd.Silent() }},
		"unread answers": {300, func(string) crowd.Behavior {
			return crowd.UnreadAnswers("GET /status/today HTTP/1.1\r\nHost: h.example\r\n")
		}},
		"random": {300, func(head string) crowd.Behavior {
			return crowd.Random(1, head, start, "GET /status/today HTTP/1.1\r\nHost: h.example\r\n", "POST /none HTTP/1.1\r\nHost: h.example\r\n")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r, d := startCrowdDaemon(t, programs)
			head := start + "Authorization: Bearer " + r.Keys.Active("stats-manitoba")[0].Secret + "\r\n"
			watch := crowd.Watch{PID: d.Process.PID(), Address: netip.MustParseAddrPort(d.Caller), Interval: 5 * clock.Millisecond}
			watch.Start()
			c := crowd.Start(d.Caller, test.size, test.behavior(head))
			time.Sleep(crowdStay.Duration())
			c.Grow(test.size)
			time.Sleep(crowdStay.Duration())
			waitServed(t, d.Caller, "beside")
			c.Stop()
			waitServed(t, d.Caller, "after")
			peak, err := watch.Stop()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("at most %v", peak)
			if peak.Memory() > crowdMemory {
				t.Errorf("the daemon held %v, want at most %d MiB", peak.Usage, crowdMemory>>20)
			}
			if peak.Descriptors > crowdDescriptors {
				t.Errorf("the daemon had %d descriptors, want at most %d", peak.Descriptors, crowdDescriptors)
			}
		})
	}
}
