// Package background runs the parts of a daemon that go on until it stops.
//
// # Usage
//
//	group := background.New(logger)
//	group.Start("Membership", members.Run)
//	defer group.Stop()
package background

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var eventTaskFailed = event.New(1004, logrus.ErrorLevel, "a part of the daemon failed",
	"The daemon goes on without it. Look at the error and replace the VM.")

// Group is a group of parts that run until they are stopped together.
// Groups are stopped one after the other at shutdown.
type Group struct {
	logger logrus.FieldLogger
	ctx    context.Context
	cancel context.CancelFunc
	parts  sync.WaitGroup
}

// New returns a group without parts.
func New(logger logrus.FieldLogger) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{logger: logger, ctx: ctx, cancel: cancel}
}

// Start runs a part until the group is stopped.
func (g *Group) Start(name string, work func(ctx context.Context) error) {
	g.parts.Add(1)
	go (&part{name: name, group: g, work: work}).run()
}

// Stop ends all parts and waits for them.
func (g *Group) Stop() {
	g.cancel()
	g.parts.Wait()
}

// part is one part of the daemon that runs in the background.
type part struct {
	name  string
	group *Group
	work  func(ctx context.Context) error
}

func (p *part) run() {
	defer p.group.parts.Done()
	if err := p.work(p.group.ctx); err != nil && p.group.ctx.Err() == nil {
		eventTaskFailed.Log(p.group.logger, logrus.Fields{"Part": p.name, "Error": err.Error()})
	}
}
