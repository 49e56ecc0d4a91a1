// Package place chooses the endpoint of a cell on which a request runs: the one
// with the least expected time to first token. The prediction uses the load
// that the endpoints report, corrected by the requests that were sent to them
// since, and the part of the prompt that the endpoint has to compute because it
// is not in its prefix cache.
//
// An endpoint gets no more requests than it has slots, so that the queues of
// the engines stay short and the router decides the order. A leaving endpoint
// gets no new requests from the first report that it is leaving, and that is
// final for its incarnation. Endpoints that generate tokens much more slowly
// than the median of the cell (stragglers) are ejected, up to a maximum share
// of the cell, and probed with single requests until they have recovered.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	p := place.New(place.Config{}, rand.New(rand.NewPCG(1, 2)))
//	p.SetEndpoints(now, endpoints, slotsOf)
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
	// DefaultPrefillRate is the number of prompt tokens that an engine is
	// assumed to compute in a second.
	DefaultPrefillRate = 8000
	// DefaultIndexBlocks limits the prefix blocks kept for an endpoint.
	DefaultIndexBlocks = 8192
	// DefaultSlowFactor is the multiple of the median time between tokens
	// above which an endpoint is ejected.
	DefaultSlowFactor = 3
	// DefaultMaxEjectedShare limits the share of a cell's endpoints that are
	// ejected.
	DefaultMaxEjectedShare = 0.34
	// DefaultProbeAfter is the time from ejection to the first probe. It
	// doubles with each failed probe, up to MaxProbeAfter.
	DefaultProbeAfter = 5 * clock.Second
	// MaxProbeAfter limits the time between probes.
	MaxProbeAfter = 60 * clock.Second
	// DefaultEjectAfterFailures is the number of consecutive failures after
	// which an endpoint is ejected.
	DefaultEjectAfterFailures = 3
	// DefaultMinSamples is the number of samples that are needed to judge an
	// endpoint's time between tokens.
	DefaultMinSamples = 3
)

// Policy selects how endpoints are compared.
type Policy int

// The policies. All but the first serve as baselines in comparisons.
const (
	// LeastExpectedFirstToken chooses the endpoint with the least expected time
	// to first token.
	LeastExpectedFirstToken Policy = iota
	// RoundRobin chooses the endpoints in turn.
	RoundRobin
	// LeastOutstanding chooses the endpoint with the fewest outstanding
	// requests of this Placer.
	LeastOutstanding
)

// Config holds the parameters of a Placer. Zero fields take the defaults.
type Config struct {
	PrefillRate        float64
	IndexBlocks        int
	SlowFactor         float64
	MaxEjectedShare    float64
	ProbeAfter         clock.Millis
	EjectAfterFailures int
	MinSamples         int
	Policy             Policy
	// IgnoreTokenRate turns off the detection of slow endpoints, for
	// comparisons.
	IgnoreTokenRate bool
	// IgnorePrefixCache turns off the prefix index, for comparisons.
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

// Request holds the properties of a request that a choice depends on.
type Request struct {
	PromptTokens int
	// Digests identify the complete prefix blocks of the prompt.
	Digests []uint64
	// Exclude names endpoints that are chosen only if no others are available.
	Exclude []string
	// Retryable requests may be used as probes of ejected endpoints.
	Retryable bool
}

// Choice is the endpoint that was chosen.
type Choice struct {
	Endpoint string
	// Uncached is the expected number of prompt tokens to compute.
	Uncached int
	// ExpectedFirstToken is the expected time to first token.
	ExpectedFirstToken clock.Millis
	// Probe is set if the endpoint is ejected and the request is its probe.
	Probe bool
}

// LoadReport is the load that an endpoint reports.
type LoadReport struct {
	Endpoint    string
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	// KVUsed and KVTotal count tokens in the cache.
	KVUsed  int64
	KVTotal int64
	// TokensPerSecond is the rate of token generation over all requests.
	TokensPerSecond float64
	// Sequence increases with each report of an incarnation.
	Sequence uint64
}

// Result is how a request ended on its endpoint.
type Result struct {
	Failed bool
	// TimeToFirstToken is the time from dispatch to the first token, 0 if
	// unknown.
	TimeToFirstToken clock.Millis
}

// Placer chooses endpoints for one cell.
type Placer struct {
	config          Config
	rng             *rand.Rand
	replicas        []*replica
	byID            map[string]*replica
	leaving         map[string]leavingIncarnation
	index           *index
	medianTokenTime float64
	// free, slots and ejected are the totals of the cell; see updateTotals.
	free    int
	slots   int
	ejected int
	// lastTurn is the index of the replica that RoundRobin chose last.
	lastTurn int
	// matches is the buffer of index.match.
	matches []match
}

// leavingIncarnation records that an incarnation of an endpoint is leaving.
type leavingIncarnation struct {
	incarnation string
	seenAt      clock.Millis
}

// New returns a Placer without endpoints.
func New(config Config, rng *rand.Rand) *Placer {
	config = config.withDefaults()
	return &Placer{
		config:  config,
		rng:     rng,
		byID:    make(map[string]*replica),
		leaving: make(map[string]leavingIncarnation),
		index:   newIndex(config.IndexBlocks),
	}
}

// Slots returns the total number of slots of the usable endpoints.
func (p *Placer) Slots() int {
	return p.slots
}

// FreeSlots returns the number of free slots of the usable endpoints.
func (p *Placer) FreeSlots() int {
	return p.free
}

// EjectedCount returns the number of ejected endpoints.
func (p *Placer) EjectedCount() int {
	return p.ejected
}

// Endpoint returns the endpoint with the given ID.
func (p *Placer) Endpoint(id string) (endpoint entity.Endpoint, known bool) {
	r, known := p.byID[id]
	if !known {
		return entity.Endpoint{}, false
	}
	return r.endpoint, true
}

// Usable reports whether the endpoint may get new requests: it is listed and
// neither leaving nor ejected.
func (p *Placer) Usable(id string) bool {
	r, known := p.byID[id]
	return known && r.usable()
}

// Choose returns the best endpoint with a free slot by the configured policy,
// or an ejected one that is due for a probe. It does not record the request;
// see RecordDispatch.
func (p *Placer) Choose(now clock.Millis, request Request) (choice Choice, found bool) {
	if probe, due := p.probeTarget(now, request); due {
		return p.newChoice(probe, request, 0), true
	}
	if p.config.Policy == RoundRobin {
		return p.chooseRoundRobin(request)
	}
	matches := p.matchPrefix(request)
	best, bestScore, bestCached := -1, 0.0, 0
	fallback, fallbackScore, fallbackCached := -1, 0.0, 0
	for i, r := range p.replicas {
		if !r.hasFreeSlot() {
			continue
		}
		cached := cachedTokens(matches, int32(r.number), request.PromptTokens)
		score := p.expectedFirstToken(r, request.PromptTokens-cached)
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
	return p.newChoice(p.replicas[best], request, bestCached), true
}

func (p *Placer) newChoice(r *replica, request Request, cached int) Choice {
	uncached := request.PromptTokens - cached
	return Choice{
		Endpoint:           r.endpoint.ID,
		Uncached:           uncached,
		ExpectedFirstToken: clock.Millis(p.expectedFirstToken(r, uncached)),
		Probe:              r.ejected,
	}
}

// runningCost is what each request that runs on an endpoint adds to the
// expected time to the first token, in milliseconds.
const runningCost = 3

// expectedFirstToken returns the expected time to the first token in
// milliseconds.
func (p *Placer) expectedFirstToken(r *replica, uncached int) float64 {
	if p.config.Policy == LeastOutstanding {
		return float64(len(r.requests))
	}
	prefill := float64(r.prefillTokens+uncached) / p.config.PrefillRate * float64(clock.Second)
	load := float64(r.occupiedSlots()) / float64(max(r.slots, 1)) * runningCost * 10
	return (prefill+load)*p.slowness(r) + r.excessDelay
}

// slowness returns the ratio of the endpoint's time between tokens to the
// median of the cell, at least 1.
func (p *Placer) slowness(r *replica) float64 {
	if p.config.IgnoreTokenRate || r.tokenSamples < p.config.MinSamples || p.medianTokenTime <= 0 {
		return 1
	}
	return max(1, r.tokenTime/p.medianTokenTime)
}

func (p *Placer) chooseRoundRobin(request Request) (choice Choice, found bool) {
	for range p.replicas {
		p.lastTurn = (p.lastTurn + 1) % len(p.replicas)
		if r := p.replicas[p.lastTurn]; r.hasFreeSlot() && !slices.Contains(request.Exclude, r.endpoint.ID) {
			return p.newChoice(r, request, 0), true
		}
	}
	for _, r := range p.replicas {
		if r.hasFreeSlot() {
			return p.newChoice(r, request, 0), true
		}
	}
	return Choice{}, false
}
