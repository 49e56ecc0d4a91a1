//go:build review

package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of the rig.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is one run of a case.
type rig struct {
	program, template, temporary string
	trouble                      bool
	rec                          *record
	platform                     *storePlatform
	gateways                     []*gateway
	replicas                     []*replica
	addresses                    int
	ports                        ports
}

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"stale-weights":     staleWeights,
	"burst-memory":      burstMemory,
	"restored-usage":    restoredUsage,
	"restarted-version": restartedVersion,
	"restarted-at-once": restartedAtOnce,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	program := flag.String("gateway", "target/banyangateway", "program of the gateway")
	template := flag.String("template", "deploy/gateway.ini", "template of its settings")
	flag.Parse()
	check := cases[*name]
	if check == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	broken, err := runCase(check, *dir, *program, *template)
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func runCase(check func(*rig) (bool, error), dir, program, template string) (broken bool, err error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	c := &rig{program: program, template: template, temporary: temporary, trouble: os.Getenv("TROUBLE") != "0", rec: &record{w: file}}
	defer c.end()
	if c.ports, err = freePorts(); err != nil {
		return false, err
	}
	if c.platform, err = startPlatform(c.rec, c.newIP()); err != nil {
		return false, err
	}
	broken, err = check(c)
	c.rec.note("result: broken %t, error %v", broken, err)
	c.keepLogs(dir)
	return broken, err
}

// keepLogs keeps the logs of the gateways if the environment asks for them.
func (c *rig) keepLogs(dir string) {
	if os.Getenv("KEEP_LOGS") == "" {
		return
	}
	for _, g := range c.gateways {
		from, err := os.Open(g.log)
		if err != nil {
			continue
		}
		to, err := os.Create(filepath.Join(dir, g.name+".log"))
		if err == nil {
			_, _ = io.Copy(to, from)
			_ = to.Close()
		}
		_ = from.Close()
	}
}

func (c *rig) end() {
	for _, g := range c.gateways {
		g.end()
	}
	for _, r := range c.replicas {
		r.close()
	}
	if c.platform != nil {
		c.platform.close()
	}
}

// newIP returns a loopback address that only one machine of this run has.
func (c *rig) newIP() string {
	c.addresses++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, c.addresses)
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startFleet starts gateways, one after the other in each zone, and waits until they are ready.
func (c *rig) startFleet(count, memoryMB int) error {
	ips, seeds := make([]string, count), []string(nil)
	for n := range ips {
		ips[n] = c.newIP()
		if n < len(zones) {
			seeds = append(seeds, ips[n]+":"+c.ports.control)
		}
	}
	for n, ip := range ips {
		zone := zones[n%len(zones)]
		g, err := c.newGateway(fmt.Sprintf("front-%s-%d", zone, n/len(zones)+1), zone, ip, seeds, memoryMB)
		if err != nil {
			return err
		}
		c.gateways = append(c.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	return c.wait("all gateways are ready", 20*time.Second, func() bool {
		for _, g := range c.gateways {
			if !g.ready() {
				return false
			}
		}
		return true
	})
}

func (c *rig) startReplicas(service string, count int) error {
	for n := range count {
		r, err := startReplica(c.platform, c.newIP(), fmt.Sprintf("i-%s-%d", service, n+1), service, zones[n%len(zones)])
		if err != nil {
			return err
		}
		c.replicas = append(c.replicas, r)
	}
	return nil
}

// wait waits until a condition holds.
func (c *rig) wait(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			c.rec.note("rig: %s", what)
			return nil
		}
	}
	return fmt.Errorf("not so within %s: %s", limit, what)
}
