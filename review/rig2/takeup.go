//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The streams of the case take two seconds, and the daemon is killed when half of each has arrived.
const (
	takeUpStreams = 16
	takeUpEvents  = 20
	takeUpGap     = 100 * time.Millisecond
	takeUpKill    = time.Second
)

// takeUpManifest splits a resumable route between the services of two software versions.
var takeUpManifest = map[string]any{
	"version": 7,
	"routes": []any{map[string]any{
		"name": "r-1", "host": "ficu95.example", "prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1000,
		"priority": 1, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 800,
		"traffic_split": []any{map[string]any{"service": "huvo11a", "weight": 50}, map[string]any{"service": "wuno96b", "weight": 50}},
	}},
	"services": []any{modelService("huvo11a"), modelService("wuno96b")},
	"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
}

func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "connection_limit": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": replicaSlots, "kv_cache_tokens": 462610, "kv_token_bytes": 18432, "link_mbps": 88000.0, "stride": 4,
			"models": []any{map[string]any{"name": "m"}},
		},
	}
}

// piece is one event of a stream as its consumer has received it.
type piece struct {
	number int
	maker  string
}

// playTakeUp lets consumers receive streams, kills the daemon that passes them on, and lets the
// consumers take them up at another one.
func playTakeUp(b *bench) (err error) {
	if b.store, err = startStore(b.address(100) + ":8223"); err != nil {
		return err
	}
	b.store.put("op", "config", takeUpManifest)
	for n := range 6 {
		p := &replica{
			id: fmt.Sprint("i-", n), service: []string{"huvo11a", "wuno96b"}[n%2], version: []string{"v1", "v2"}[n%2],
			zone: fmt.Sprintf("zone-%c", 'a'+n/2), events: takeUpEvents, gap: takeUpGap, record: b.record,
		}
		if err := p.start(b.store, b.address(110+n)+":8080"); err != nil {
			return err
		}
	}
	if b.daemons, err = startFleet(3, b.address, b.store.address, b.dir); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		time.AfterFunc(takeUpKill, func() {
			b.record.line("kill", b.daemons[0].name)
			b.daemons[0].signal(syscall.SIGKILL)
		})
	}
	received := make([][]piece, takeUpStreams)
	var consumers sync.WaitGroup
	for n := range received {
		consumers.Go(func() { received[n] = b.receive(n) })
	}
	consumers.Wait()
	return b.judgeOrder(received)
}

// receive gets a stream as a consumer does. After a broken channel it takes the stream up on a new
// one, which the platform forwards to another daemon.
func (b *bench) receive(n int) (pieces []piece) {
	for try := range 3 {
		complete, err := b.receiveOnce(fmt.Sprintf("%04x%04x", n, try), b.daemons[try], &pieces)
		if complete {
			return pieces
		}
		b.record.line("broken", "stream", n, "try", try, "pieces", len(pieces), "error", err)
	}
	return nil
}

func (b *bench) receiveOnce(attempt string, to *daemon, pieces *[]piece) (complete bool, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+to.front+"/pufi791/2f", strings.NewReader("a prompt"))
	if err != nil {
		return false, err
	}
	request.Host = "ficu95.example"
	for name, value := range map[string]string{
		"Banyanshift-Attempt-Id": attempt, "Banyanshift-Model": "m", "Banyanshift-Token-Counts": "60,80",
		"Banyanshift-Prompt-Prefix": "5c1e07a2:50," + attempt + ":10", "Banyanshift-Deadline-Remaining": "9000", "Api-Key": "n2ctnfzs989anu6wsjnb",
	} {
		request.Header.Set(name, value)
	}
	if len(*pieces) > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa((*pieces)[len(*pieces)-1].number))
	}
	b.record.line("send", "attempt", attempt, "daemon", to.name, "after", request.Header.Get("Last-Event-Id"))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	b.record.line("answer", "attempt", attempt, "status", answer.StatusCode, "proof", answer.Header.Get("Banyanshift-Response-Seal"))
	if answer.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", answer.StatusCode)
	}
	lines := bufio.NewScanner(answer.Body)
	next := piece{}
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			next.number, _ = strconv.Atoi(value)
		case "data":
			next.maker = value
		case "":
			*pieces = append(*pieces, next)
			b.record.line("piece", "attempt", attempt, next.number, next.maker)
		}
	}
	return lines.Err() == nil, lines.Err()
}

// judgeOrder returns errBroken if a complete stream lacks a piece, has one twice, or is joined from
// two software versions.
func (b *bench) judgeOrder(received [][]piece) error {
	complete, broken := 0, 0
	for n, pieces := range received {
		if pieces == nil {
			continue
		}
		complete++
		whole, makers := len(pieces) == takeUpEvents, map[string]int{}
		for i, p := range pieces {
			whole = whole && p.number == i+1
			makers[p.maker]++
		}
		if !whole || len(makers) > 1 {
			broken++
			b.record.line("ORDER", "stream", n, "whole", whole, "made by", makers)
		}
	}
	b.record.line("streams", len(received), "complete", complete, "broken", broken)
	switch {
	case broken > 0:
		return fmt.Errorf("%w: ORDER, %d of %d streams", errBroken, broken, complete)
	case complete == 0:
		return fmt.Errorf("no stream was complete")
	}
	return nil
}
