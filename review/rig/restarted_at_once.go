//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// unframedStreams is the number of streams, and unframedPieces that of the pieces of each.
	unframedStreams = 72
	unframedPieces  = 20
	// endsAfter is when the process of a replica ends.
	endsAfter = 1500 * time.Millisecond
)

// restartedAtOnce ends the process of one model replica while it answers streams that have neither a
// length nor chunks. The replica starts again at once.
func restartedAtOnce(c *rig) (broken bool, err error) {
	if err := c.startSmall(8, 9, 284); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // contact_ms without a disruption.
	outcomes := make([]outcome, unframedStreams)
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
				id: fmt.Sprintf("e%07x", n), method: "POST", timeLimit: 12 * time.Second, body: "x",
				target: fmt.Sprintf("/book/2f?unframed=1&events=%d&gap=150", unframedPieces),
			})
		}()
	}
	time.Sleep(endsAfter)
	if c.trouble {
		c.replicas[0].restartAtOnce()
	}
	streams.Wait()
	short := 0
	for n, o := range outcomes {
		pieces := strings.Count(o.body, "\ndata: piece ")
		if o.complete() && o.status == 200 && pieces < unframedPieces {
			short++
			c.rec.note("rig: stream e%07x ends as complete after %d of %d pieces", n, pieces, unframedPieces)
		}
	}
	c.rec.note("rig: %d of %d streams end as complete before their last piece", short, len(outcomes))
	return short > 0, nil
}
