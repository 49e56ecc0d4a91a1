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

// startProcess starts a program with its output in a file of dir. When output
// is not nil it gets standard output in place of the file.
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
	// The child ends with the rig, and gets no signal meant for the rig's
	// process group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p = &Process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go p.run()
	return p, nil
}

// startListening starts a stand-in and returns the URL that it announces.
func startListening(dir, name, program string, args []string) (p *Process, url string, err error) {
	reader, writer := io.Pipe()
	p, err = startProcess(dir, name, program, args, writer)
	if err != nil {
		return nil, "", err
	}
	go p.closeAfter(writer)
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		return nil, "", fmt.Errorf("%s did not start, see its log: %w", name, err)
	}
	go p.discard(reader)
	var listening factory.ReadyMessage
	err = json.Unmarshal(line, &listening)
	return p, listening.URL, err
}

func (p *Process) closeAfter(writer *io.PipeWriter) {
	<-p.done
	_ = writer.Close()
}

func (p *Process) discard(reader io.Reader) {
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

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Running says that the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Err returns how the process ended.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Stop ends the process with SIGTERM, and with SIGKILL after grace.
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

// PID returns the process's id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}
