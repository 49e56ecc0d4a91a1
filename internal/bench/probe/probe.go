// Package probe reads what a daemon process uses: processor time and memory
// from the operating system, and counters from its expvar interface.
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

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// Usage is what a process has used since its start.
type Usage struct {
	// ReadAtSeconds is when it was read, in seconds of an arbitrary start.
	ReadAtSeconds float64
	CPUSeconds    float64
	// Allocations and AllocatedBytes count what was allocated.
	Allocations    float64
	AllocatedBytes float64
	// ResidentBytes is the memory of the process and HeapBytes that of its
	// live and not yet collected objects; both are levels and not counts.
	ResidentBytes float64
	HeapBytes     float64
	// PeerBytesSent and PeerMessagesSent were sent to other daemons, by message type.
	PeerBytesSent    map[string]float64
	PeerMessagesSent map[string]float64
}

// Sub returns what was used since other was read. Levels stay as they are.
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

// Sum adds up the values of a map.
func Sum(values map[string]float64) float64 {
	var total float64
	for _, value := range values {
		total += value
	}
	return total
}

// vars are the variables that are read from expvar.
type vars struct {
	MemStats struct {
		Mallocs    float64
		TotalAlloc float64
		HeapAlloc  float64
	} `json:"memstats"`
	PeerBytes    map[string]float64 `json:"Peer.BytesSent"`
	PeerMessages map[string]float64 `json:"Peer.MessagesSent"`
}

// Read reads what the process uses; metrics is the address of its expvar
// interface.
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

// residentBytes reads the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	const residentField = 1
	if len(fields) <= residentField {
		return 0, fmt.Errorf("process %d: unexpected form of its memory status", pid)
	}
	pages, err := strconv.ParseFloat(fields[residentField], 64)
	return pages * float64(os.Getpagesize()), err
}
