package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Usage is what a process holds at one moment.
type Usage struct {
	// Resident is the resident memory (VmRSS), and Unread what has arrived for the process and was
	// not read, both in bytes. Unread is the payload in the receive queues of TCP: the system's own
	// structures around it are not counted.
	Resident, Unread int64
	Descriptors      int
}

// Memory returns the bytes that count towards the memory limit.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

func (u Usage) String() string {
	return fmt.Sprintf("%d MiB resident and %d MiB unread, %d descriptors", u.Resident>>20, u.Unread>>20, u.Descriptors)
}

// Peak is the highest usage in a time.
type Peak struct {
	// Usage is that of the moment with the most memory.
	Usage
	// Descriptors is the highest number, maybe of another moment.
	Descriptors int
}

func (p Peak) String() string {
	return fmt.Sprintf("%v; at most %d descriptors", p.Usage, p.Descriptors)
}

// Watch observes a process that listens at a TCP address.
type Watch struct {
	PID int
	// Address is the IPv4 address and port.
	Address netip.AddrPort
	// Servers are the addresses of servers that only the process connects to.
	Servers []netip.AddrPort
	// Interval is the time between two looks.
	Interval clock.Millis

	stop chan struct{}
	done sync.WaitGroup
	peak Peak
	err  error
}

// Start begins to record the peak.
func (w *Watch) Start() {
	w.stop = make(chan struct{})
	w.done.Go(w.run)
}

// Stop returns the highest usage since Start. The error is that of the last look that failed.
func (w *Watch) Stop() (Peak, error) {
	close(w.stop)
	w.done.Wait()
	return w.peak, w.err
}

func (w *Watch) run() {
	ticker := time.NewTicker(w.Interval.Duration())
	defer ticker.Stop()
	for {
		w.look()
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// look records the usage of the moment.
func (w *Watch) look() {
	usage, err := w.Usage()
	if err != nil {
		w.err = err
		return
	}
	if usage.Memory() > w.peak.Memory() {
		w.peak.Usage = usage
	}
	w.peak.Descriptors = max(w.peak.Descriptors, usage.Descriptors)
}

// Usage returns what the process holds.
func (w *Watch) Usage() (usage Usage, err error) {
	defer func() { err = oops.Wrapf(err, "observe process %d", w.PID) }()
	if usage.Resident, err = w.resident(); err != nil {
		return usage, err
	}
	if usage.Unread, err = w.unread(); err != nil {
		return usage, err
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.PID))
	usage.Descriptors = len(entries)
	return usage, err
}

// resident returns the resident memory in bytes.
func (w *Watch) resident() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.PID))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kibibytes int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kibibytes); n == 1 {
			return kibibytes << 10, nil
		}
	}
	return 0, fmt.Errorf("process %d has ended", w.PID)
}

// States of sockets as in /proc/net/tcp. The queue of one that listens counts connections, and that of one
// that connects is the difference of two numbers of which one is not set yet.
const (
	connecting = "02"
	listening  = "0A"
)

// unread returns the bytes in the receive queues of the address's connections, also of those that
// were not accepted yet, and of the connections to the servers.
func (w *Watch) unread() (total int64, err error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	local := column(w.Address)
	servers := make(map[string]bool)
	for _, server := range w.Servers {
		servers[column(server)] = true
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening || fields[3] == connecting {
			continue
		}
		if fields[1] == local || servers[fields[2]] {
			total += queued(fields[4])
		}
	}
	return total, lines.Err()
}

// column returns an address as /proc/net/tcp writes it on a little-endian machine.
func column(address netip.AddrPort) string {
	ip := address.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port())
}

// queued returns the bytes in the receive queue of a column SENT:RECEIVED.
func queued(column string) (received int64) {
	var sent int64
	if _, err := fmt.Sscanf(column, "%X:%X", &sent, &received); err != nil {
		return 0
	}
	return received
}
