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

// profiler writes a CPU profile of a daemon to a file.
type profiler struct {
	url     string
	path    string
	running sync.WaitGroup
	err     error
}

// startProfile starts a profile that is a second shorter than the streams, but
// at least one second long. Without a path it does nothing.
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
	p.err = p.fetch(ctx)
}

func (p *profiler) fetch(ctx context.Context) error {
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

// wait waits until the profile is written and returns its error.
func (p *profiler) wait() error {
	p.running.Wait()
	return p.err
}
