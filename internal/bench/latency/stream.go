package latency

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// The range of the histograms in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// Quantiles holds quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64
	P99 float64
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P99: q.P99 - other.P99}
}

// Streams summarizes the streams of one measurement.
type Streams struct {
	Answers    int
	Tokens     int
	Seconds    float64
	FirstToken Quantiles
	Gap        Quantiles
}

// target is the destination of streams. Requests rotate over the URLs and carry
// the key, if any.
type target struct {
	urls []string
	key  string
}

// measureDirect sends the streams directly to the engines.
func (o *Options) measureDirect(ctx context.Context, r *rig.Rig, count int) (Streams, error) {
	var endpoints []entity.Endpoint
	if err := r.CallPlatform(ctx, http.MethodGet, "/endpoints", nil, &endpoints); err != nil {
		return Streams{}, err
	}
	var to target
	for _, endpoint := range endpoints {
		to.urls = append(to.urls, "http://"+endpoint.Address)
	}
	return o.measure(ctx, to, count)
}

// measureRouted sends the streams through the daemon.
func (o *Options) measureRouted(ctx context.Context, r *rig.Rig, count int) (Streams, error) {
	return o.measure(ctx, target{urls: []string{"http://" + r.ActiveDaemons()[0].Caller}, key: r.Keys.Active(team)[0].Secret}, count)
}

// measure keeps count streams open for the duration and summarizes them.
func (o *Options) measure(ctx context.Context, to target, count int) (streams Streams, err error) {
	ctx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	m := &meter{
		target:     to,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}},
		firstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		gap:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
	started := time.Now()
	for range count {
		m.running.Add(1)
		go m.run(ctx)
	}
	m.running.Wait()
	if m.failure != nil {
		return streams, m.failure
	}
	return Streams{
		Answers: m.answers, Tokens: m.tokens, Seconds: time.Since(started).Seconds(),
		FirstToken: quantiles(m.firstToken), Gap: quantiles(m.gap),
	}, nil
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
	}
}

// meter sends streams from concurrent goroutines, each one after the other, and
// collects their timings.
type meter struct {
	target  target
	client  *http.Client
	counter atomic.Uint64
	running sync.WaitGroup

	mu         sync.Mutex
	answers    int
	tokens     int
	failure    error
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

func (m *meter) run(ctx context.Context) {
	defer m.running.Done()
	for ctx.Err() == nil {
		times, err := m.sendStream(ctx)
		if ctx.Err() != nil {
			return
		}
		m.record(times, err)
		if err != nil {
			return
		}
	}
}

func (m *meter) record(times []time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.failure = errors.Join(m.failure, err)
		return
	}
	m.answers++
	m.tokens += len(times)
	for i, t := range times {
		if i == 0 {
			_ = m.firstToken.RecordValue(t.Microseconds())
			continue
		}
		_ = m.gap.RecordValue((t - times[i-1]).Microseconds())
	}
}

// sendStream sends one request and returns the arrival times of its tokens since
// the request was sent.
func (m *meter) sendStream(ctx context.Context) (times []time.Duration, err error) {
	number := m.counter.Add(1)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"stream %d len=%d"}]}`, modelName, number, tokensPerAnswer)
	url := m.target.urls[number%uint64(len(m.target.urls))] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Request-Id", strconv.FormatUint(number, 10))
	if m.target.key != "" {
		req.Header.Set("Authorization", "Bearer "+m.target.key)
	}
	sent := time.Now()
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return readTokenTimes(resp.Body, sent)
}

func readTokenTimes(body io.Reader, sent time.Time) ([]time.Duration, error) {
	times := make([]time.Duration, 0, tokensPerAnswer)
	reader := load.NewEventReader(body)
	for {
		data, err := reader.Next()
		if err != nil {
			return nil, err
		}
		if string(data) == "[DONE]" {
			break
		}
		times = append(times, time.Since(sent))
	}
	if len(times) != tokensPerAnswer {
		return nil, fmt.Errorf("got %d tokens, want %d", len(times), tokensPerAnswer)
	}
	return times, nil
}
