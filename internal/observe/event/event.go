// Package event numbers everything that the daemon logs. Each package declares
// its events once, with the text that docs/EVENTS.md shows for operators; a
// test holds that page complete.
//
// # Usage
//
//	var eventTaken = event.New(1801, logrus.InfoLevel, "lease taken",
//		"This daemon now gives the orders of its region.")
//
//	eventTaken.Log(logger, logrus.Fields{"Scope": scope, "Fence": fence})
//
// Fields are named in PascalCase and never hold a key, a body or a prompt.
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
	// Help says what the event means and what operators may do.
	Help string
}

var (
	mu       sync.Mutex
	registry = map[int]*Event{}
)

// New declares an event. It panics when the number is taken, which a test of
// the whole program finds.
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

// All returns the declared events in the order of their numbers.
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

// Log writes the event with its fields.
func (e *Event) Log(logger logrus.FieldLogger, fields logrus.Fields) {
	logger.WithFields(fields).WithField("Event", e.Number).Log(e.Level, e.Message)
}
