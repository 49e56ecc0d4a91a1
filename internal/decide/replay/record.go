package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Source is a stream of requests of one team and tier.
type Source struct {
	Team   string
	Weight int
	Tier   int
	// Rate is requests a second, from From until Until (0: to the end).
	Rate  float64
	From  clock.Millis
	Until clock.Millis
	// Prompt and Output are mean tokens.
	Prompt  int
	Output  int
	Target  clock.Millis
	MaxWait clock.Millis
	Early   bool
	// Daemon is the only daemon that the source reaches; -1 for all of them.
	Daemon int
	// Prefixes is how many beginnings the prompts share; 0 for none.
	Prefixes int
}

// Workload is a set of sources.
type Workload struct {
	Span    clock.Millis
	Daemons int
	// Skew is the part of the requests that the balancer sends to the first
	// daemon, beside its even part.
	Skew    float64
	Sources []Source
}

// Record draws the arrivals of a workload.
func Record(seed uint64, w Workload) []Arrival {
	var all []Arrival
	for i, source := range w.Sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, source.record(rng, w)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

func (s Source) record(rng *rand.Rand, w Workload) []Arrival {
	var arrivals []Arrival
	until := w.Span
	if s.Until > 0 {
		until = min(until, s.Until)
	}
	for at := float64(s.From); ; {
		at += rng.ExpFloat64() / s.Rate * float64(clock.Second)
		if clock.Millis(at) >= until {
			return arrivals
		}
		daemon := s.Daemon
		if daemon < 0 {
			daemon = rng.IntN(w.Daemons)
			if rng.Float64() < w.Skew {
				daemon = 0
			}
		}
		arrivals = append(arrivals, Arrival{
			At: clock.Millis(at), Daemon: daemon, Team: s.Team, Weight: s.Weight, Tier: s.Tier,
			Prompt: spread(rng, s.Prompt), Output: spread(rng, s.Output),
			Target: s.Target, MaxWait: s.MaxWait, Early: s.Early, Digests: s.digests(rng),
		})
	}
}

// spread draws from half to one and a half of the mean.
func spread(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}

func (s Source) digests(rng *rand.Rand) []uint64 {
	if s.Prefixes == 0 {
		return nil
	}
	prefix := rng.IntN(s.Prefixes)
	digests := make([]uint64, max(1, s.Prompt/2/64))
	for i := range digests {
		digests[i] = uint64(len(fmt.Sprint(s.Team)))<<56 ^ uint64(prefix)<<24 ^ uint64(i+1)
	}
	return digests
}
