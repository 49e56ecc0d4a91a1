package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
)

// Process is one process that the rig started.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startProcess starts a program and writes its output to a log file in dir. If
// output is not nil, standard output goes there instead of to the file.
func startProcess(dir, name, program string, args []string, output io.Writer) (p *Process, err error) {
	defer func() { err = oops.Wrapf(err, "start %s", name) }()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Stdout, cmd.Stderr = io.Writer(log), log
	if output != nil {
		cmd.Stdout = output
	}
	// Pdeathsig ends the child when the rig dies. Setpgid keeps signals to the
	// rig's process group from the child.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p = &Process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go p.run()
	return p, nil
}

// startListening starts a stand-in and returns the URL that it prints on its
// first line of output.
func startListening(dir, name, program string, args []string) (p *Process, url string, err error) {
	reader, writer := io.Pipe()
	p, err = startProcess(dir, name, program, args, writer)
	if err != nil {
		return nil, "", err
	}
	go p.runCloser(writer)
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		return nil, "", fmt.Errorf("%s did not start, see its log: %w", name, err)
	}
	go p.discardLoop(reader)
	var listening factory.ReadyMessage
	err = json.Unmarshal(line, &listening)
	return p, listening.URL, err
}

func (p *Process) runCloser(writer *io.PipeWriter) {
	<-p.done
	_ = writer.Close()
}

func (p *Process) discardLoop(reader io.Reader) {
	_, _ = io.Copy(io.Discard, reader)
}

func (p *Process) run() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	_ = p.log.Close()
	close(p.done)
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(signal syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Err returns the error of the process's exit, nil while it runs.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Stop sends SIGTERM and waits until the process exits; after grace it sends
// SIGKILL. It sends SIGCONT first, for a process that was paused.
func (p *Process) Stop(grace clock.Millis) {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	select {
	case <-p.done:
	case <-ctx.Done():
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}
