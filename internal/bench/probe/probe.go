// Package probe reads the resource usage of a daemon process: CPU time and
// resident memory from /proc, and heap and traffic counters from its expvar
// endpoint.
//
// # Usage
//
//	before, err := probe.Read(ctx, daemon.Process.PID(), daemon.Metrics)
//	...
//	after, err := probe.Read(ctx, daemon.Process.PID(), daemon.Metrics)
//	used := after.Sub(before)
package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the clock tick rate of CPU times in /proc, USER_HZ.
const ticksPerSecond = 100

// Usage is the resource usage of a process since its start.
type Usage struct {
	// ReadAtSeconds is when the usage was read, in seconds since an arbitrary
	// time.
	ReadAtSeconds float64
	CPUSeconds    float64
	// Allocations and AllocatedBytes count heap allocations.
	Allocations    float64
	AllocatedBytes float64
	// ResidentBytes is the resident memory of the process and HeapBytes that of
	// heap objects, reachable or not yet collected. Both are gauges, not
	// counters.
	ResidentBytes float64
	HeapBytes     float64
	// PeerBytesSent and PeerMessagesSent count what was sent to other daemons,
	// by message type.
	PeerBytesSent    map[string]float64
	PeerMessagesSent map[string]float64
}

// Sub returns the usage since other was read. Gauges keep their value.
func (u Usage) Sub(other Usage) Usage {
	u.ReadAtSeconds -= other.ReadAtSeconds
	u.CPUSeconds -= other.CPUSeconds
	u.Allocations -= other.Allocations
	u.AllocatedBytes -= other.AllocatedBytes
	u.PeerBytesSent = subtract(u.PeerBytesSent, other.PeerBytesSent)
	u.PeerMessagesSent = subtract(u.PeerMessagesSent, other.PeerMessagesSent)
	return u
}

func subtract(a, b map[string]float64) map[string]float64 {
	difference := make(map[string]float64, len(a))
	for name, value := range a {
		difference[name] = value - b[name]
	}
	return difference
}

// Sum returns the sum of the values.
func Sum(values map[string]float64) float64 {
	var total float64
	for _, value := range values {
		total += value
	}
	return total
}

// vars are the expvar variables that Read uses.
type vars struct {
	MemStats struct {
		Mallocs    float64
		TotalAlloc float64
		HeapAlloc  float64
	} `json:"memstats"`
	PeerBytes    map[string]float64 `json:"Peer.BytesSent"`
	PeerMessages map[string]float64 `json:"Peer.MessagesSent"`
}

// Read returns the usage of the process pid; metrics is the host and port of its
// expvar endpoint.
func Read(ctx context.Context, pid int, metrics string) (used Usage, err error) {
	used.ReadAtSeconds = float64(time.Now().UnixMicro()) / 1e6
	if used.CPUSeconds, err = cpuSeconds(pid); err != nil {
		return used, err
	}
	if used.ResidentBytes, err = residentBytes(pid); err != nil {
		return used, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+metrics+"/debug/vars", http.NoBody)
	if err != nil {
		return used, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return used, err
	}
	defer func() { _ = resp.Body.Close() }()
	var read vars
	if err := json.NewDecoder(resp.Body).Decode(&read); err != nil {
		return used, err
	}
	used.Allocations, used.AllocatedBytes, used.HeapBytes = read.MemStats.Mallocs, read.MemStats.TotalAlloc, read.MemStats.HeapAlloc
	used.PeerBytesSent, used.PeerMessagesSent = read.PeerBytes, read.PeerMessages
	return used, nil
}

// cpuSeconds returns the user and system CPU time of a process.
func cpuSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name in parentheses may contain spaces; later fields do not.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, fmt.Errorf("process %d: too few fields in its stat file", pid)
	}
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / ticksPerSecond, err
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	const residentField = 1
	if len(fields) <= residentField {
		return 0, fmt.Errorf("process %d: too few fields in its statm file", pid)
	}
	pages, err := strconv.ParseFloat(fields[residentField], 64)
	return pages * float64(os.Getpagesize()), err
}
