//go:build review

// Package rig3 holds what the cases of the third review share: stand-ins of the platform's store,
// of replicas and of consumers, and a fleet of gateways that run as processes of their own.
//
// The stand-ins do what the users' pages say and nothing else. All addresses are loopback ones.
//
// # Usage
//
//	os.Exit(rig3.Run(func(c *rig3.Case) error { ... c.Break("LIMIT", "...") ... }))
package rig3

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// Case is one run of a case.
type Case struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	// Dir is a temporary folder.
	Dir string

	record  *os.File
	started time.Time
	mu      sync.Mutex
	broken  int
}

// Run runs a case and returns its exit status. The first argument of the program is the folder of
// the case, in which the record is written.
func Run(run func(c *Case) error) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, record: record, started: time.Now()}
	c.Note("trouble: %t", c.Trouble)
	if err := run(c); err != nil {
		c.Say("the case could not run: %v", err)
		return exitNotRun
	}
	if c.broken > 0 {
		return exitBroken
	}
	c.Say("the rule held")
	return exitHeld
}

// Note writes a line to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as seconds since the start of the case.
func (c *Case) At(t time.Time) float64 { return t.Sub(c.started).Seconds() }

// Say writes a line to the record and to standard output.
func (c *Case) Say(format string, args ...any) {
	c.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	c.Say("BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
}

// JSON is a text that is JSON already.
type JSON string

// MarshalJSON implements json.Marshaler.
func (t JSON) MarshalJSON() ([]byte, error) { return []byte(t), nil }
