// Package place decides on which endpoint of a cell a request runs: the one
// with the least expected time to the first token, counted from the load that
// endpoints report, corrected by what was sent to them since, and from the
// part of the prompt that the endpoint has to compute because it is not in
// its prefix cache.
//
// An endpoint gets no more requests than it has slots, so that the queues of
// the engines stay short and the order is decided by the router. Endpoints
// that are leaving get nothing from the moment that anybody says so, and that
// does not change for the incarnation. Endpoints that generate tokens much
// more slowly than the median of the cell are ejected, within a bounded share
// of the cell, and probed with single requests until they have recovered.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	p := place.New(place.Config{}, rand.New(rand.NewPCG(1, 2)))
//	p.SetEndpoints(now, endpoints, slots)
//	if choice, found := p.Choose(now, place.Request{PromptTokens: 900, Digests: digests}); found {
//		p.RecordDispatch(now, choice.Endpoint, "r1", choice.Uncached, digests)
//	}
//	p.RecordTokens(choice.Endpoint, 20, 700*clock.Millisecond)
//	p.RecordEnd(now, choice.Endpoint, "r1", place.Result{...})
package place

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// Defaults of Config.
const (
	// DefaultPrefillRate is the prompt tokens that an engine computes in a
	// second, until it was measured.
	DefaultPrefillRate = 8000
	// DefaultIndexBlocks bounds the prefix blocks remembered for an endpoint.
	DefaultIndexBlocks = 8192
	// DefaultSlowFactor is how many times the median time between tokens an
	// endpoint may take before it is ejected.
	DefaultSlowFactor = 3
	// DefaultMaxEjectedShare bounds the ejected part of a cell.
	DefaultMaxEjectedShare = 0.34
	// DefaultProbeAfter is the time from ejection to the first probe; it
	// doubles for each probe that fails, up to MaxProbeAfter.
	DefaultProbeAfter = 5 * clock.Second
	// MaxProbeAfter bounds the time between probes.
	MaxProbeAfter = 60 * clock.Second
	// DefaultEjectAfterFailures is how many failures in a row eject an endpoint.
	DefaultEjectAfterFailures = 3
	// DefaultMinSamples is how many rate samples a verdict needs.
	DefaultMinSamples = 3
)

// Policy is a way to compare endpoints.
type Policy int

// The rules. All but the first serve as baselines.
const (
	// LeastExpectedFirstToken takes the least expected time to the first token.
	LeastExpectedFirstToken Policy = iota
	// RoundRobin takes one endpoint after the other.
	RoundRobin
	// LeastOutstanding takes the endpoint with the fewest own requests.
	LeastOutstanding
)

// Config holds the rules of a Placer. Zero fields take the defaults.
type Config struct {
	PrefillRate        float64
	IndexBlocks        int
	SlowFactor         float64
	MaxEjectedShare    float64
	ProbeAfter         clock.Millis
	EjectAfterFailures int
	MinSamples         int
	// Policy is how endpoints are compared.
	Policy Policy
	// IgnoreTokenRate never ejects for slowness, for comparison.
	IgnoreTokenRate bool
	// IgnorePrefixCache does without the prefix index, for comparison.
	IgnorePrefixCache bool
}

func (c Config) withDefaults() Config {
	if c.PrefillRate == 0 {
		c.PrefillRate = DefaultPrefillRate
	}
	if c.IndexBlocks == 0 {
		c.IndexBlocks = DefaultIndexBlocks
	}
	if c.SlowFactor == 0 {
		c.SlowFactor = DefaultSlowFactor
	}
	if c.MaxEjectedShare == 0 {
		c.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if c.ProbeAfter == 0 {
		c.ProbeAfter = DefaultProbeAfter
	}
	if c.EjectAfterFailures == 0 {
		c.EjectAfterFailures = DefaultEjectAfterFailures
	}
	if c.MinSamples == 0 {
		c.MinSamples = DefaultMinSamples
	}
	return c
}

// Request is what the placement needs to know about a request.
type Request struct {
	PromptTokens int
	// Digests of the whole prefix blocks of the prompt.
	Digests []uint64
	// Exclude names endpoints that are chosen only if no others exist.
	Exclude []string
	// Retryable requests may be used as probes of ejected endpoints.
	Retryable bool
}

// Choice is the endpoint that was chosen.
type Choice struct {
	Endpoint string
	// Uncached is how many prompt tokens are expected to be computed.
	Uncached int
	// ExpectedFirstToken is the expected time to the first token.
	ExpectedFirstToken clock.Millis
	// Probe says that the endpoint is ejected and being probed.
	Probe bool
}

// LoadReport is a load report of an endpoint.
type LoadReport struct {
	Endpoint    string
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	// KVUsed and KVTotal count tokens in the cache.
	KVUsed  int64
	KVTotal int64
	// TokensPerSecond is the total rate of generation.
	TokensPerSecond float64
	// Sequence grows with each report of an incarnation.
	Sequence uint64
}

// Result says how a request ended on its endpoint.
type Result struct {
	Failed bool
	// TimeToFirstToken is the time from dispatch to the first token, 0 if unknown.
	TimeToFirstToken clock.Millis
}

// Placer chooses endpoints for one cell.
type Placer struct {
	config   Config
	rng      *rand.Rand
	replicas []*replica
	byID     map[string]*replica
	leaving  map[string]departure
	index    *index
	median   float64
	free     int
	slots    int
	ejected  int
	turn     int
	matches  []match
}

// departure remembers that an incarnation is leaving.
type departure struct {
	incarnation string
	seen        clock.Millis
}

// New returns a Placer without endpoints.
func New(config Config, rng *rand.Rand) *Placer {
	config = config.withDefaults()
	return &Placer{
		config:  config,
		rng:     rng,
		byID:    make(map[string]*replica),
		leaving: make(map[string]departure),
		index:   newIndex(config.IndexBlocks),
	}
}

// Slots returns how many requests the usable endpoints run at the same time.
func (p *Placer) Slots() int {
	return p.slots
}

// FreeSlots returns how many slots of usable endpoints are free.
func (p *Placer) FreeSlots() int {
	return p.free
}

// EjectedCount returns how many endpoints are ejected.
func (p *Placer) EjectedCount() int {
	return p.ejected
}

// Endpoint returns the endpoint of that ID.
func (p *Placer) Endpoint(id string) (endpoint entity.Endpoint, known bool) {
	r, known := p.byID[id]
	if !known {
		return entity.Endpoint{}, false
	}
	return r.endpoint, true
}

// Usable reports whether the endpoint may be given work.
func (p *Placer) Usable(id string) bool {
	r, known := p.byID[id]
	return known && r.usable()
}

// Choose returns the endpoint with a free slot that is expected to give the
// first token soonest. It changes nothing.
func (p *Placer) Choose(now clock.Millis, request Request) (choice Choice, found bool) {
	if probe, due := p.probe(now, request); due {
		return p.choice(probe, request, 0), true
	}
	if p.config.Policy == RoundRobin {
		return p.inTurn(request)
	}
	matches := p.match(request)
	best, bestScore, bestCached := -1, 0.0, 0
	fallback, fallbackScore, fallbackCached := -1, 0.0, 0
	for i, r := range p.replicas {
		if !r.available() {
			continue
		}
		cached := cachedTokens(matches, int32(r.number), request.PromptTokens)
		score := p.expected(r, request.PromptTokens-cached)
		if slices.Contains(request.Exclude, r.endpoint.ID) {
			if fallback < 0 || score < fallbackScore {
				fallback, fallbackScore, fallbackCached = i, score, cached
			}
			continue
		}
		if best < 0 || score < bestScore || (score == bestScore && p.rng.IntN(2) == 0) {
			best, bestScore, bestCached = i, score, cached
		}
	}
	if best < 0 {
		best, bestCached = fallback, fallbackCached
	}
	if best < 0 {
		return Choice{}, false
	}
	return p.choice(p.replicas[best], request, bestCached), true
}

func (p *Placer) choice(r *replica, request Request, cached int) Choice {
	uncached := request.PromptTokens - cached
	return Choice{
		Endpoint:           r.endpoint.ID,
		Uncached:           uncached,
		ExpectedFirstToken: clock.Millis(p.expected(r, uncached)),
		Probe:              r.ejected,
	}
}

// runningCost is what each request that runs on an endpoint adds to the
// expected time to the first token, in milliseconds.
const runningCost = 3

// expected returns the expected time to the first token in milliseconds.
func (p *Placer) expected(r *replica, uncached int) float64 {
	if p.config.Policy == LeastOutstanding {
		return float64(len(r.requests))
	}
	prefill := float64(r.prefilling+uncached) / p.config.PrefillRate * float64(clock.Second)
	load := float64(r.occupied()) / float64(max(r.slots, 1)) * runningCost * 10
	return (prefill+load)*p.slowness(r) + r.delay
}

// slowness is the time between tokens relative to the median, at least 1.
func (p *Placer) slowness(r *replica) float64 {
	if p.config.IgnoreTokenRate || r.samples < p.config.MinSamples || p.median <= 0 {
		return 1
	}
	return max(1, r.perToken/p.median)
}

func (p *Placer) inTurn(request Request) (choice Choice, found bool) {
	for range p.replicas {
		p.turn = (p.turn + 1) % len(p.replicas)
		if r := p.replicas[p.turn]; r.available() && !slices.Contains(request.Exclude, r.endpoint.ID) {
			return p.choice(r, request, 0), true
		}
	}
	for _, r := range p.replicas {
		if r.available() {
			return p.choice(r, request, 0), true
		}
	}
	return Choice{}, false
}
