package latency

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/banyanshift/banyanshift/internal/bench/rig"
)

// profiler takes a processor profile of a daemon into a file.
type profiler struct {
	url     string
	path    string
	running sync.WaitGroup
	err     error
}

// startProfile begins a profile that ends before the streams do. It does
// nothing without a path.
func (o *Options) startProfile(ctx context.Context, daemon *rig.Daemon) *profiler {
	seconds := max(int(o.Duration.Seconds())-1, 1)
	p := &profiler{
		url:  fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", daemon.Metrics, seconds),
		path: o.Profile,
	}
	if p.path != "" {
		p.running.Add(1)
		go p.run(ctx)
	}
	return p
}

func (p *profiler) run(ctx context.Context) {
	defer p.running.Done()
	p.err = p.take(ctx)
}

func (p *profiler) take(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path, data, 0o600)
}

// wait waits for the profile to be written.
func (p *profiler) wait() error {
	p.running.Wait()
	return p.err
}
