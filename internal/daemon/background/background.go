// Package background runs the long-lived tasks of a daemon, each in its own
// goroutine, and stops them in groups at shutdown.
//
// # Usage
//
//	group := background.New(logger)
//	group.Start("Membership", members.Run)
//	defer group.Stop() // cancels the context of all tasks and waits for them
package background

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var eventTaskFailed = event.New(1004, logrus.ErrorLevel, "a part of the daemon failed",
	"The daemon continues without this part. Check the error and replace the VM.")

// Group is a set of tasks that are stopped together. A daemon has several groups
// and stops them one after the other at shutdown.
type Group struct {
	logger logrus.FieldLogger
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns an empty group.
func New(logger logrus.FieldLogger) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{logger: logger, ctx: ctx, cancel: cancel}
}

// Start runs work in a new goroutine, with a context that Stop cancels. If work
// fails before that, the error is logged under the name and work isn't restarted.
func (g *Group) Start(name string, work func(ctx context.Context) error) {
	g.tasks.Add(1)
	go (&task{name: name, group: g, work: work}).run()
}

// Stop cancels all tasks and waits until they have returned.
func (g *Group) Stop() {
	g.cancel()
	g.tasks.Wait()
}

type task struct {
	name  string
	group *Group
	work  func(ctx context.Context) error
}

func (t *task) run() {
	defer t.group.tasks.Done()
	if err := t.work(t.group.ctx); err != nil && t.group.ctx.Err() == nil {
		eventTaskFailed.Log(t.group.logger, logrus.Fields{"Part": t.name, "Error": err.Error()})
	}
}
