package watch

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var reportsFailed = metric.NewCounter("Endpoint.ReportsFailed", "Failed reads of load reports or cache events.")

// updateReaders starts a reportReader for each engine that this daemon schedules
// requests to, and stops those of other engines.
func (w *Watcher) updateReaders(ctx context.Context, endpoints []entity.Endpoint) {
	wanted := make(map[string]entity.Endpoint)
	for _, endpoint := range endpoints {
		backend, found := w.config.Backend(endpoint.Backend)
		if found && backend.Type == entity.Model && w.config.Schedules(endpoint) {
			wanted[endpoint.ID+"/"+endpoint.Incarnation] = endpoint
		}
	}
	for key, running := range w.readers {
		if _, keep := wanted[key]; !keep {
			running.stop()
			delete(w.readers, key)
		}
	}
	for key, endpoint := range wanted {
		if _, running := w.readers[key]; running {
			continue
		}
		readerCtx, stop := context.WithCancel(ctx)
		started := &reportReader{watcher: w, endpoint: endpoint, stop: stop}
		w.readers[key] = started
		go started.run(readerCtx)
	}
}

// reportReader polls the load reports and cache events of one engine.
type reportReader struct {
	watcher        *Watcher
	endpoint       entity.Endpoint
	stop           context.CancelFunc
	lastCacheEvent uint64
}

func (r *reportReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.readLoad(ctx)
		r.readCacheEvents(ctx)
		_ = r.watcher.config.Clock.Sleep(ctx, reportInterval)
	}
}

func (r *reportReader) readLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	load, err := r.watcher.config.Load(ctx, r.endpoint)
	if err != nil {
		reportsFailed.Add(1)
		return
	}
	r.watcher.config.OnLoad(r.endpoint, load)
	if load.Leaving {
		r.watcher.handleEngineLeaving(LeavingUpdate{EndpointID: r.endpoint.ID, Incarnation: r.endpoint.Incarnation})
	}
}

func (r *reportReader) readCacheEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	events, err := r.watcher.config.CacheEvents(ctx, r.endpoint, r.lastCacheEvent)
	if err != nil {
		reportsFailed.Add(1)
		return
	}
	r.lastCacheEvent = max(r.lastCacheEvent, events.Last)
	if len(events.Events) > 0 {
		r.watcher.config.OnCacheEvents(r.endpoint, events)
	}
}
