//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"syscall"
	"time"
)

const (
	// usageWindow is usage_window_s.
	usageWindow = 5 * time.Second
	// copyBeforeEnd is how long before the end of the reported window the copy was made.
	copyBeforeEnd = 1200 * time.Millisecond
	// killedFor is how long the gateways are down, and awayFor how long the store is.
	killedFor = 700 * time.Millisecond
	awayFor   = time.Second
	// usageCallers is the number of consumers.
	usageCallers = 12
)

// usageReport is what a gateway reports of a window.
type usageReport struct {
	Window int64            `json:"window_number"`
	Counts map[string]int64 `json:"counts"`
}

// restoredUsage lets the store come back from a copy that is some seconds old while all gateways
// are killed, right after a window was reported.
func restoredUsage(c *rig) (broken bool, err error) {
	go c.platform.keepCopies()
	if err := c.startSmall(8, 3, 284); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer func() { close(stop); callers.Wait() }()
	for n := range usageCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c.lookUp(n, stop)
		}()
	}
	time.Sleep(2 * usageWindow)
	reported, err := c.nextReport()
	if err != nil {
		return false, err
	}
	if c.trouble {
		if err := c.drillAndKill(reported); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * usageWindow)
	return c.checkReports(), nil
}

// nextReport waits for the next report of a window.
func (c *rig) nextReport() (report usageReport, err error) {
	before := len(c.reports())
	err = c.wait("a window was reported", 3*usageWindow, func() bool { return len(c.reports()) > before })
	if err == nil {
		reports := c.reports()
		report = reports[len(reports)-1]
	}
	return report, err
}

// reports returns all reports so far.
func (c *rig) reports() (reports []usageReport) {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	for _, call := range c.platform.calls {
		var report usageReport
		if call.path == "/usage" && json.Unmarshal([]byte(call.body), &report) == nil {
			reports = append(reports, report)
		}
	}
	return reports
}

// drillAndKill takes the store away and kills all gateways. The store comes back from a copy from
// before the end of a window.
func (c *rig) drillAndKill(reported usageReport) error {
	c.platform.leave()
	for _, g := range c.gateways {
		g.signal(syscall.SIGKILL)
	}
	time.Sleep(killedFor)
	for _, g := range c.gateways {
		if err := g.restart(); err != nil {
			return err
		}
	}
	time.Sleep(awayFor - killedFor)
	end := time.UnixMilli((reported.Window + 1) * usageWindow.Milliseconds())
	return c.platform.restore(end.Add(-copyBeforeEnd))
}

// checkReports reports whether two reports of one window differ.
func (c *rig) checkReports() (differ bool) {
	first := map[int64]usageReport{}
	for _, report := range c.reports() {
		known, found := first[report.Window]
		if !found {
			first[report.Window] = report
			continue
		}
		if !maps.Equal(known.Counts, report.Counts) {
			differ = true
			c.rec.note("rig: window %d was reported with %v and with %v", report.Window, known.Counts, report.Counts)
		}
	}
	c.rec.note("rig: %d windows were reported; two reports of one differ: %t", len(first), differ)
	return differ
}

// lookUp sends requests to one gateway after the other.
func (c *rig) lookUp(caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		g := c.gateways[(caller+n)%len(c.gateways)]
		consumer, err := c.connect(fmt.Sprint("c", caller+1), g)
		if err != nil {
			continue
		}
		consumer.send(request{id: fmt.Sprintf("u%d-%d", caller, n), method: "POST", target: "/look/2f?work=10", timeLimit: time.Second, body: "x"})
		consumer.close()
	}
}
