//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// sessionsPerGateway is the number of consumers of each kind of request at each gateway.
	sessionsPerGateway = 1
	// sessionPause is the time between two requests of a consumer.
	sessionPause = 400 * time.Millisecond
	// rollAfter is when the first replica gets new weights, and rollGap the time until the next.
	rollAfter = 3 * time.Second
	rollGap   = 500 * time.Millisecond
	// sessionTime is how long consumers send.
	sessionTime = 50 * time.Second
)

// kindCount counts the requests of a kind.
type kindCount struct{ sent, served int }

func (k kindCount) share() float64 { return float64(k.served) / float64(max(k.sent, 1)) }

// staleWeights gives the model replicas new weights, one after the other and without a restart.
// Consumers of streams ask for the weights that wrote the answer before, and no longer do so
// after a request that was not served.
func staleWeights(c *rig) (broken bool, err error) {
	if err := c.startSmall(8, 9, 284); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // contact_ms without a disruption.
	start := time.Now()
	var mu sync.Mutex
	counts := map[string]*kindCount{}
	var sessions sync.WaitGroup
	for _, kind := range []string{"book", "week", "pay", "look"} {
		counts[kind] = &kindCount{}
		for n, g := range c.gateways {
			for s := range sessionsPerGateway {
				sessions.Add(1)
				go func() {
					defer sessions.Done()
					c.session(kind, fmt.Sprintf("%s-%d-%d", kind, n, s), g, start.Add(sessionTime), func(served bool) {
						mu.Lock()
						defer mu.Unlock()
						counts[kind].sent++
						if served {
							counts[kind].served++
						}
					})
				}()
			}
		}
	}
	if c.trouble {
		time.Sleep(time.Until(start.Add(rollAfter)))
		for _, r := range c.replicas {
			if r.service == "model" {
				c.rec.note("replica %s: has weights 2 now", r.id)
				r.weights.Store(2)
				time.Sleep(rollGap)
			}
		}
	}
	sessions.Wait()
	ready := 0
	for _, g := range c.gateways {
		if g.ready() {
			ready++
		}
	}
	c.rec.note("rig: %d of %d gateways say that they are ready", ready, len(c.gateways))
	var all kindCount
	for _, count := range counts {
		all.sent, all.served = all.sent+count.sent, all.served+count.served
	}
	for kind, count := range counts {
		starved := count.share() < all.share()/4
		broken = broken || starved
		c.rec.note("rig: %s: %d of %d requests were served (%.2f); of all %.2f; starved %t", kind, count.served, count.sent, count.share(), all.share(), starved)
	}
	return broken, nil
}

// session sends requests on one channel, or on a new one where the last one has ended.
func (c *rig) session(kind, name string, g *gateway, end time.Time, count func(served bool)) {
	target, timeLimit := "/"+kind+"/2f?work=15", 2*time.Second
	isStream := kind == "book" || kind == "week"
	if isStream {
		target, timeLimit = "/"+kind+"/2f?events=10&gap=20", 12*time.Second
	}
	weights := ""
	var channel *consumer
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(sessionPause)
		if channel == nil {
			var err error
			if channel, err = c.connect(name, g); err != nil {
				count(false)
				continue
			}
		}
		r := request{id: fmt.Sprintf("%s-%d", name, n), method: "POST", target: target, timeLimit: timeLimit, body: "x"}
		if weights != "" {
			r.header = map[string]string{"Banyanshift-Expected-Version": weights}
		}
		o := channel.send(r)
		served := o.complete() && o.status == 200
		count(served)
		weights = ""
		if served && isStream {
			weights = o.header.Get("Banyanshift-Weight-Versions")
		}
		if !o.complete() || o.header.Get("Connection") == "close" {
			channel.close()
			channel = nil
		}
	}
	if channel != nil {
		channel.close()
	}
}
