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

// The range of the histograms, in microseconds.
const (
	shortest = 1
	longest  = 60_000_000
	digits   = 3
)

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64
	P99 float64
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P99: q.P99 - other.P99}
}

// Streams sums up the streams of one part.
type Streams struct {
	Answers    int
	Tokens     int
	Seconds    float64
	FirstToken Quantiles
	Gap        Quantiles
}

// target is where streams are sent.
type target struct {
	urls []string
	key  string
}

// direct sends the streams straight to the engines.
func (o *Options) direct(ctx context.Context, r *rig.Rig, count int) (Streams, error) {
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

// routed sends the streams through the daemon.
func (o *Options) routed(ctx context.Context, r *rig.Rig, count int) (Streams, error) {
	return o.measure(ctx, target{urls: []string{"http://" + r.ActiveDaemons()[0].Caller}, key: r.Keys.Active(team)[0].Secret}, count)
}

// measure keeps count streams open for the duration.
func (o *Options) measure(ctx context.Context, to target, count int) (streams Streams, err error) {
	ctx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	m := &meter{
		target:     to,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}},
		firstToken: hdrhistogram.New(shortest, longest, digits),
		gap:        hdrhistogram.New(shortest, longest, digits),
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

// meter sends streams one after the other, several at a time.
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
		times, err := m.stream(ctx)
		if ctx.Err() != nil {
			return
		}
		m.add(times, err)
		if err != nil {
			return
		}
	}
}

func (m *meter) add(times []time.Duration, err error) {
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

// stream sends one request and returns when its tokens came.
func (m *meter) stream(ctx context.Context) (times []time.Duration, err error) {
	number := m.counter.Add(1)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"stream %d len=%d"}]}`, modelName, number, tokens)
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
	return readTimes(resp.Body, sent)
}

func readTimes(body io.Reader, sent time.Time) ([]time.Duration, error) {
	times := make([]time.Duration, 0, tokens)
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
	if len(times) != tokens {
		return nil, fmt.Errorf("got %d tokens, want %d", len(times), tokens)
	}
	return times, nil
}
