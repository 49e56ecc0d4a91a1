//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// daemon is one process of the deploy file.
type daemon struct {
	name, zone, ip, front, ready, dir string
	command                           *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// settingsText is what deploy/gateway.ini becomes on a machine of a small deployment.
const settingsText = `[Daemon]
ID = %[1]s
FailureDomain = %[2]s
Capacity = 0.4
FirstStart = %[4]t
MemoryLimit = 284MiB
MaxDescriptors = 4100
Grace = 8s

[Caller]
Listen = %[3]s:8227

[Readiness]
Listen = %[3]s:8220
Path = /readiness

[Peer]
Listen = %[3]s:7340
Seeds =
Forward = %[3]s:7355

[Platform]
Store = %[5]s
Duties = %[5]s

[Metrics]
Listen = %[3]s:9180

[Bounds]
RetryRatio = 0.2
RetryExtra = 56
RetryWindow = 10s
UsageWindow = 5s
DrainTime = 2000ms
LeaseTime = 3000ms
`

// program is what the deploy file runs, from the repository's root.
const program = "target/banyangateway"

func newDaemon(name, zone, ip, dir string) *daemon {
	return &daemon{name: name, zone: zone, ip: ip, front: ip + ":8227", ready: ip + ":8220", dir: dir}
}

// start starts the process with its settings.
func (d *daemon) start(store string, first bool) error {
	settings := filepath.Join(d.dir, d.name+".ini")
	if err := os.WriteFile(settings, []byte(fmt.Sprintf(settingsText, d.name, d.zone, d.ip, first, store)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command(program)
	d.command.Env = append(os.Environ(), "BANYANSHIFT_SETTINGS="+settings)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	command, exited := d.command, make(chan struct{})
	d.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, and waits for its end if it is SIGKILL.
func (d *daemon) signal(s syscall.Signal) {
	_ = d.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-d.exited
	}
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// fleet starts daemons and waits until all are ready.
func startFleet(count int, address func(n int) string, store, dir string) ([]*daemon, error) {
	var daemons []*daemon
	for n := range count {
		d := newDaemon(fmt.Sprintf("front-%c-1", 'a'+n), fmt.Sprintf("zone-%c", 'a'+n), address(n), dir)
		daemons = append(daemons, d)
		if err := d.start(store, true); err != nil {
			return daemons, err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, d := range daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return daemons, fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return daemons, nil
}

// loopbackNet returns addresses that no other process of this kind uses.
func loopbackNet() func(n int) string {
	id := os.Getpid()
	for try := range 200 {
		second, third := 20+(id+try)%200, (id/200+try)%250
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:8227", second, third))
		if err == nil {
			_ = listener.Close()
			return func(n int) string { return fmt.Sprintf("127.%d.%d.%d", second, third, n+1) }
		}
	}
	return nil
}
