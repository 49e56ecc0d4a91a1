package serve

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"
)

// background is a group of parts that run until they are stopped together.
// Groups are stopped one after the other at shutdown.
type background struct {
	logger logrus.FieldLogger
	ctx    context.Context
	cancel context.CancelFunc
	parts  sync.WaitGroup
}

func newBackground(logger logrus.FieldLogger) *background {
	ctx, cancel := context.WithCancel(context.Background())
	return &background{logger: logger, ctx: ctx, cancel: cancel}
}

// start runs a part until the group is stopped.
func (b *background) start(name string, work func(ctx context.Context) error) {
	b.parts.Add(1)
	go (&part{name: name, group: b, work: work}).run()
}

// stop ends all parts and waits for them.
func (b *background) stop() {
	b.cancel()
	b.parts.Wait()
}

// part is one part of the daemon that runs in the background.
type part struct {
	name  string
	group *background
	work  func(ctx context.Context) error
}

func (p *part) run() {
	defer p.group.parts.Done()
	if err := p.work(p.group.ctx); err != nil && p.group.ctx.Err() == nil {
		eventTaskFailed.Log(p.group.logger, logrus.Fields{"Part": p.name, "Error": err.Error()})
	}
}
