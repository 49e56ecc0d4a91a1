package latency

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/banyanshift/banyanshift/internal/bench/rig"
)

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// usage is what a process has used since its start.
type usage struct {
	CPUSeconds float64
	Mallocs    float64
	Bytes      float64
}

func (u usage) minus(other usage) usage {
	return usage{CPUSeconds: u.CPUSeconds - other.CPUSeconds, Mallocs: u.Mallocs - other.Mallocs, Bytes: u.Bytes - other.Bytes}
}

// usageOf reads the processor time of a daemon and its allocations.
func usageOf(ctx context.Context, daemon *rig.Daemon) (used usage, err error) {
	used.CPUSeconds, err = cpuSeconds(daemon.Process.PID())
	if err != nil {
		return used, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.Metrics+"/debug/vars", http.NoBody)
	if err != nil {
		return used, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return used, err
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		MemStats struct {
			Mallocs    float64
			TotalAlloc float64
		} `json:"memstats"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return used, err
	}
	used.Mallocs, used.Bytes = vars.MemStats.Mallocs, vars.MemStats.TotalAlloc
	return used, nil
}

// cpuSeconds reads the user and system time of a process.
func cpuSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may hold spaces; the fields after it do not.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, fmt.Errorf("process %d: unexpected form of its status", pid)
	}
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / ticksPerSecond, err
}
