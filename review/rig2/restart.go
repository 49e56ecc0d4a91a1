//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The replica is away for restartDown, and writes its entry for the first time restartEntry after it
// has started again. The daemon is killed, or the replica crashes, restartKill after the start.
const (
	restartStreams = 24
	restartDown    = 300 * time.Millisecond
	restartEntry   = time.Second
	restartKill    = 650 * time.Millisecond
)

var restartManifest = map[string]any{
	"version": 7,
	"routes": []any{map[string]any{
		"name": "r-1", "host": "ficu95.example", "prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1000,
		"priority": 1, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 800, "service": "huvo11a",
	}},
	"services": []any{modelService("huvo11a")},
	"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
}

// playRestart starts a replica again under its id at the next software version, and kills the daemon
// that passes its first streams on.
func playRestart(b *bench) error {
	return b.playNewVersion(func(*replica) {
		b.record.line("kill", b.daemons[0].name)
		b.daemons[0].signal(syscall.SIGKILL)
	})
}

// playCrash does the same, and lets the replica crash instead.
func playCrash(b *bench) error {
	return b.playNewVersion(func(started *replica) {
		b.record.line("replica crashes", started.id, started.version)
		started.stop()
	})
}

// playNewVersion starts a replica again under its id at the next software version, lets consumers
// begin streams, and brings the disruption about while its entry is still the old one.
func (b *bench) playNewVersion(disrupt func(started *replica)) (err error) {
	if b.store, err = startStore(b.address(100) + ":8223"); err != nil {
		return err
	}
	b.store.put("op", "config", restartManifest)
	var replicas []*replica
	for n := range 4 {
		p := &replica{id: fmt.Sprint("i-", n), service: "huvo11a", version: "v1", zone: fmt.Sprintf("zone-%c", 'a'+n%3), events: takeUpEvents, gap: takeUpGap, record: b.record}
		if err := p.start(b.store, b.address(110+n)+":8080"); err != nil {
			return err
		}
		replicas = append(replicas, p)
	}
	if b.daemons, err = startFleet(3, b.address, b.store.address, b.dir); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	old := replicas[0]
	old.stop()
	b.record.line("replica ends", old.id, old.version)
	time.Sleep(restartDown)
	next := &replica{id: old.id, service: old.service, version: "v2", zone: old.zone, events: old.events, gap: old.gap, record: b.record, entryAfter: restartEntry}
	if err := next.start(b.store, old.address); err != nil {
		return err
	}
	b.record.line("replica starts", next.id, next.version)
	if b.trouble {
		time.AfterFunc(restartKill, func() { disrupt(next) })
	}
	received := make([][]piece, restartStreams)
	var consumers sync.WaitGroup
	for n := range received {
		consumers.Go(func() { received[n] = b.receive(n) })
	}
	consumers.Wait()
	return b.judgeOrder(received)
}
