//go:build review

// Command rig2 plays the cases of the second review: the project's gateways as processes, before
// stand-ins of the platform, its replicas and its consumers.
//
// # Usage
//
//	target/review-2/rig2 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule of the case was broken, with 0
// if it held, and with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(b *bench) error{
	"crash":   playCrash,
	"restart": playRestart,
	"takeup":  playTakeUp,
}

// bench is what the cases have in common.
type bench struct {
	record  *record
	dir     string
	trouble bool
	store   *store
	address func(n int) string
	daemons []*daemon
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(b *bench) error, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	b := &bench{record: &record{file: file, began: time.Now()}, dir: dir, trouble: os.Getenv("TROUBLE") != "0", address: loopbackNet()}
	defer b.end()
	done := make(chan error, 1)
	go func() { done <- play(b) }()
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = errors.New("the case takes too long")
	}
	switch {
	case err == nil:
		b.record.line("result", "held")
		return 0
	case errors.Is(err, errBroken):
		b.record.line("result", err)
		return 1
	}
	b.record.line("result", "could not run:", err)
	return 2
}

// end ends all processes.
func (b *bench) end() {
	for _, d := range b.daemons {
		if d.command != nil && d.command.Process != nil {
			d.signal(syscall.SIGKILL)
		}
	}
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(what ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), strings.TrimSuffix(fmt.Sprintln(what...), "\n"))
}
