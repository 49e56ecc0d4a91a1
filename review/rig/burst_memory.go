//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is memory_mb of a machine.
	memoryMB = 284
	// usualRate is the usual number of requests a second at one machine, and burstFactor and
	// burstTime are the largest x and for_s of burst in the site file.
	usualRate   = 4.5
	burstFactor = 2.3
	burstTime   = 9 * time.Second
	// largestBody is max_body_bytes.
	largestBody = 4194304
	// maxLost is how many requests may be lost.
	maxLost = 3
)

// burstMemory lets many consumers come at once at one machine, with bodies as long as the
// manifest allows. The stand-in of the machine kills a process that exceeds memory_mb.
func burstMemory(c *rig) (broken bool, err error) {
	if err := c.startSmall(8, 9, memoryMB); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // contact_ms without a disruption.
	g := c.gateways[0]
	ended := make(chan struct{})
	var watching sync.WaitGroup
	watching.Add(1)
	go func() {
		defer watching.Done()
		c.limitMemory(g, ended)
	}()
	rate := usualRate
	if c.trouble {
		rate *= burstFactor
	}
	count := int(rate * burstTime.Seconds())
	body := strings.Repeat("b", largestBody)
	var waiting sync.WaitGroup
	outcomes := make([]outcome, count)
	kept := make([]bool, count)
	start := time.Now()
	for n := range count {
		time.Sleep(time.Until(start.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			consumer, err := c.connect(fmt.Sprint("c", n+1), g)
			if err != nil {
				outcomes[n] = outcome{err: err}
				return
			}
			defer consumer.close()
			first := consumer.send(request{id: fmt.Sprintf("a%07x", n), method: "POST", target: "/look/2f?work=5", timeLimit: time.Second, body: "x"})
			kept[n] = first.complete() && first.header.Get("Connection") == ""
			outcomes[n] = consumer.send(request{
				id: fmt.Sprintf("b%07x", n), method: "POST", target: "/book/2f?first=3000&events=30&gap=135", timeLimit: 12 * time.Second, body: body,
			})
		}()
	}
	waiting.Wait()
	close(ended)
	watching.Wait()
	lost, answered := 0, 0
	for n, o := range outcomes {
		if o.complete() && o.status == 200 {
			answered++
		}
		if kept[n] && !o.complete() && o.status == 0 && c.runsOf(fmt.Sprintf("b%07x", n)) > 0 {
			lost++
		}
	}
	c.rec.note("rig: of %d requests %d were answered; %d from kept channels were passed on to a sound replica and their channels were closed without an answer (allowed: %d)", count, answered, lost, maxLost)
	return lost > maxLost, nil
}

// limitMemory kills the process of a gateway that exceeds memoryMB, as the machine does.
func (c *rig) limitMemory(g *gateway, ended <-chan struct{}) {
	peak := 0
	defer func() { c.rec.note("machine: %s had at most %d MB of %d MB", g.name, peak, memoryMB) }()
	for {
		select {
		case <-ended:
			return
		case <-g.exited:
			return
		case <-time.After(5 * time.Millisecond):
		}
		resident := g.residentMB()
		peak = max(peak, resident)
		if resident > memoryMB {
			c.rec.note("machine: %s exceeds memory_mb: %d MB of %d MB", g.name, resident, memoryMB)
			g.signal(syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the resident memory of the process.
func (g *gateway) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
