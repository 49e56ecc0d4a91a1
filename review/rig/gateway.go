//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// ports are the ports of all gateways. Each gateway has a loopback address of its own.
type ports struct{ front, ready, control, peer, forward string }

// freePorts returns ports that nothing listens on.
func freePorts() (p ports, err error) {
	for _, port := range []*string{&p.front, &p.ready, &p.control, &p.peer, &p.forward} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p, err
		}
		defer func() { _ = listener.Close() }()
		_, *port, _ = net.SplitHostPort(listener.Addr().String())
	}
	return p, nil
}

// gateway is one process of the project.
type gateway struct {
	name, ip, settings, program, log string
	// later is the text of the settings file after the first start of the whole system.
	later   string
	ports   ports
	rec     *record
	command *exec.Cmd
	exited  chan struct{}
}

// fields are the values of the template, as in the settings of a small deployment.
func (g *gateway) fields(zone string, seeds []string, p *storePlatform, memoryMB int, bootstrap string) map[string]string {
	return map[string]string{
		"node": g.name, "zone": zone, "ip": g.ip, "limits.cpu_share": "0.4", "bootstrap": bootstrap,
		"limits.memory_mb": fmt.Sprint(memoryMB), "bounds.grace_s": fmt.Sprint(graceSeconds),
		"listen.front": g.front(), "listen.ready": g.ip + ":" + g.ports.ready,
		"internal_ports.0": g.ports.peer, "internal_ports.1": g.ports.forward, "seeds": strings.Join(seeds, ","),
		"platform.address": p.storeAddress, "cloud.address": p.dutiesAddress,
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "56", "bounds.budget_window_s": "10",
		"bounds.usage_window_s": "5", "bounds.drain_ms": "2000", "bounds.lease_ms": "3000",
	}
}

// graceSeconds is grace_s.
const graceSeconds = 8

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// fill fills in the template.
func fill(template string, fields map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(value string) string {
		return fields[valuePattern.FindStringSubmatch(value)[1]]
	})
}

// start starts the process.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.command = exec.Command(g.program)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.TempDir(), "BANYANSHIFT_SETTINGS=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), g.command
	g.exited = exited
	g.rec.note("%s: process %d starts", g.name, g.command.Process.Pid)
	go func() {
		state := command.Wait()
		g.rec.note("%s: process %d has ended: %v", g.name, command.Process.Pid, state)
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(signal syscall.Signal) {
	g.rec.note("%s: gets %s", g.name, signal)
	_ = g.command.Process.Signal(signal)
}

// restart starts the process again, as the platform does after it has ended.
func (g *gateway) restart() error {
	<-g.exited
	if err := os.WriteFile(g.settings, []byte(g.later), 0o600); err != nil {
		return err
	}
	return g.start()
}

// end ends the process.
func (g *gateway) end() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.exited
}

func (g *gateway) front() string { return g.ip + ":" + g.ports.front }

// ready asks the question of the platform whether the gateway takes new channels.
func (g *gateway) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + g.ip + ":" + g.ports.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// newGateway writes the settings of a gateway.
func (c *rig) newGateway(name, zone, ip string, seeds []string, memoryMB int) (*gateway, error) {
	template, err := os.ReadFile(c.template)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, ip: ip, program: c.program, ports: c.ports, rec: c.rec, settings: filepath.Join(c.temporary, name+".ini"), log: filepath.Join(c.temporary, name+".log")}
	text := fill(string(template), g.fields(zone, seeds, c.platform, memoryMB, "true"))
	g.later = fill(string(template), g.fields(zone, seeds, c.platform, memoryMB, "false"))
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}
