package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Source is a Poisson stream of requests of one team and tier.
type Source struct {
	Team   string
	Weight int
	Tier   int
	// Rate is the number of requests per second from Start until End. An End of
	// 0 means the end of the workload.
	Rate  float64
	Start clock.Millis
	End   clock.Millis
	// MeanPromptTokens and MeanOutputTokens are the mean lengths of requests.
	MeanPromptTokens int
	MeanOutputTokens int
	Target           clock.Millis
	MaxWait          clock.Millis
	RefuseEarly      bool
	// Daemon is the only daemon that receives the requests; -1 for all of them.
	Daemon int
	// SharedPrefixes is the number of different prefixes that the prompts share;
	// 0 for prompts without a shared prefix.
	SharedPrefixes int
}

// Workload is a set of sources.
type Workload struct {
	Duration clock.Millis
	Daemons  int
	// FirstDaemonShare is the share of the requests that the load balancer sends
	// to the first daemon in addition to its even share.
	FirstDaemonShare float64
	Sources          []Source
}

// GenerateArrivals returns random arrivals of a workload, sorted by time. The same
// seed gives the same arrivals.
func GenerateArrivals(seed uint64, w Workload) []Arrival {
	var all []Arrival
	for i, source := range w.Sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, source.generate(rng, w)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

func (s Source) generate(rng *rand.Rand, w Workload) []Arrival {
	var arrivals []Arrival
	end := w.Duration
	if s.End > 0 {
		end = min(end, s.End)
	}
	for at := float64(s.Start); ; {
		at += rng.ExpFloat64() / s.Rate * float64(clock.Second)
		if clock.Millis(at) >= end {
			return arrivals
		}
		daemon := s.Daemon
		if daemon < 0 {
			daemon = rng.IntN(w.Daemons)
			if rng.Float64() < w.FirstDaemonShare {
				daemon = 0
			}
		}
		arrivals = append(arrivals, Arrival{
			At: clock.Millis(at), Daemon: daemon, Team: s.Team, Weight: s.Weight, Tier: s.Tier,
			PromptTokens: randomAround(rng, s.MeanPromptTokens), OutputTokens: randomAround(rng, s.MeanOutputTokens),
			Target: s.Target, MaxWait: s.MaxWait, RefuseEarly: s.RefuseEarly, Digests: s.digests(rng),
		})
	}
}

// randomAround returns a uniformly random number from half to one and a half of
// the mean.
func randomAround(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}

func (s Source) digests(rng *rand.Rand) []uint64 {
	if s.SharedPrefixes == 0 {
		return nil
	}
	prefix := rng.IntN(s.SharedPrefixes)
	digests := make([]uint64, max(1, s.MeanPromptTokens/2/64))
	for i := range digests {
		digests[i] = uint64(len(fmt.Sprint(s.Team)))<<56 ^ uint64(prefix)<<24 ^ uint64(i+1)
	}
	return digests
}
