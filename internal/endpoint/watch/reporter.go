package watch

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var reportsFailed = metric.NewCounter("Endpoint.ReportsFailed", "Load reports or cache events that could not be read.")

// follow starts a reporter for each engine that this daemon schedules for and
// stops those of the others.
func (w *Watcher) follow(ctx context.Context, endpoints []entity.Endpoint) {
	wanted := make(map[string]entity.Endpoint)
	for _, endpoint := range endpoints {
		backend, found := w.config.Backend(endpoint.Backend)
		if found && backend.Type == entity.Model && w.config.Schedules(endpoint) {
			wanted[endpoint.ID+"/"+endpoint.Incarnation] = endpoint
		}
	}
	for key, running := range w.reporters {
		if _, keep := wanted[key]; !keep {
			running.stop()
			delete(w.reporters, key)
		}
	}
	for key, endpoint := range wanted {
		if _, running := w.reporters[key]; running {
			continue
		}
		reporterCtx, stop := context.WithCancel(ctx)
		started := &reporter{watcher: w, endpoint: endpoint, stop: stop}
		w.reporters[key] = started
		go started.run(reporterCtx)
	}
}

// reporter reads the load reports and cache events of one engine.
type reporter struct {
	watcher  *Watcher
	endpoint entity.Endpoint
	stop     context.CancelFunc
	lastSeen uint64
}

func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.readLoad(ctx)
		r.readCacheEvents(ctx)
		_ = r.watcher.config.Clock.Sleep(ctx, reportInterval)
	}
}

func (r *reporter) readLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	load, err := r.watcher.config.Load(ctx, r.endpoint)
	if err != nil {
		reportsFailed.Add(1)
		return
	}
	r.watcher.config.OnLoad(r.endpoint, load)
	if load.Leaving {
		r.watcher.noteLeaving(LeavingUpdate{EndpointID: r.endpoint.ID, Incarnation: r.endpoint.Incarnation})
	}
}

func (r *reporter) readCacheEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	events, err := r.watcher.config.CacheEvents(ctx, r.endpoint, r.lastSeen)
	if err != nil {
		reportsFailed.Add(1)
		return
	}
	r.lastSeen = max(r.lastSeen, events.Last)
	if len(events.Events) > 0 {
		r.watcher.config.OnCacheEvents(r.endpoint, events)
	}
}
