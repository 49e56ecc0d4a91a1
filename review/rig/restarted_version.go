//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// firstHeartbeat is when a replica that has started again writes its entry: within one heartbeat.
	firstHeartbeat = time.Second
	// streamsAfter is when consumers begin streams, and crashAfter when the replica crashes.
	streamsAfter = 200 * time.Millisecond
	crashAfter   = 2500 * time.Millisecond
	// resumableStreams is the number of streams that begin meanwhile.
	resumableStreams = 72
)

// restartedVersion restarts a replica under its ID with newer software. Streams begin at it before
// its entry says so. Then it crashes, and the gateways continue the streams elsewhere.
func restartedVersion(c *rig) (broken bool, err error) {
	if err := c.startSmall(8, 9, 284); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // contact_ms without a disruption.
	restarted := c.replicas[0]
	start := time.Now()
	if c.trouble {
		if err := restarted.restart("2", firstHeartbeat); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(start.Add(streamsAfter)))
	outcomes := make([]outcome, resumableStreams)
	var streams sync.WaitGroup
	for n := range outcomes {
		streams.Add(1)
		go func() {
			defer streams.Done()
			consumer, err := c.connect(fmt.Sprint("c", n+1), c.gateways[n%len(c.gateways)])
			if err != nil {
				outcomes[n] = outcome{err: err}
				return
			}
			defer consumer.close()
			outcomes[n] = consumer.send(request{
				id: fmt.Sprintf("d%07x", n), method: "POST", target: "/week/2f?events=20&gap=200", timeLimit: 12 * time.Second, body: "x",
			})
		}()
	}
	time.Sleep(time.Until(start.Add(crashAfter)))
	restarted.crash()
	streams.Wait()
	joined := 0
	for n, o := range outcomes {
		if versions := softwareOf(o.body); len(versions) > 1 {
			joined++
			c.rec.note("rig: stream d%07x (%s) has pieces of software %v", n, o, versions)
		}
	}
	c.rec.note("rig: %d of %d streams have pieces of two software versions", joined, len(outcomes))
	return joined > 0, nil
}
