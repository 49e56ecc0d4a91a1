// Package event assigns a number to each kind of log entry. Each package declares
// its events once, with the help text that docs/EVENTS.md shows to operators; a
// test checks that the page is complete.
//
// # Usage
//
//	var eventTaken = event.New(1801, logrus.InfoLevel, "lease taken",
//		"This daemon now sends the orders of its region.")
//
//	eventTaken.Log(logger, logrus.Fields{"Scope": scope, "Fence": fence})
//
// Field names are in PascalCase, and fields never hold a key, a body or a prompt.
package event

import (
	"fmt"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is one numbered kind of log entry.
type Event struct {
	Number  int
	Level   logrus.Level
	Message string
	// Help explains the event and what operators can do about it.
	Help string
}

var (
	mu       sync.Mutex
	registry = map[int]*Event{}
)

// New declares an event. It panics if the number is already in use; a test that
// imports all packages detects that.
func New(number int, level logrus.Level, message, help string) *Event {
	mu.Lock()
	defer mu.Unlock()
	if _, taken := registry[number]; taken {
		panic(fmt.Sprintf("event: number %d is declared twice", number))
	}
	declared := &Event{Number: number, Level: level, Message: message, Help: help}
	registry[number] = declared
	return declared
}

// All returns the declared events ordered by number.
func All() []*Event {
	mu.Lock()
	defer mu.Unlock()
	events := make([]*Event, 0, len(registry))
	for _, declared := range registry {
		events = append(events, declared)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Log logs the event with the fields and its number.
func (e *Event) Log(logger logrus.FieldLogger, fields logrus.Fields) {
	logger.WithFields(fields).WithField("Event", e.Number).Log(e.Level, e.Message)
}
