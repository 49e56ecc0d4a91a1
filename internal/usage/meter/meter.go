// Package meter counts what the requests of one daemon used, by team, class and
// back end, and cuts the counts into payloads of batches.
//
// Record is called once for each request that was served, with the tokens that
// the caller was given, whatever was retried or resumed on the way. Work that
// was lost or done twice is counted apart, for operators, and not billed.
//
// # Usage
//
//	m := meter.New()
//	m.Record(meter.Usage{Team: "halvorsen", Class: "summary", Backend: "llama-70b", PromptTokens: 812, OutputTokens: 95})
//
//	payload, ok := m.TakePayload()
//	lines, err := meter.Decode(payload)
package meter

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
)

const (
	// shardCount is how many locks share the counts.
	shardCount = 16
	// maxCutLines is how many lines one payload has at most.
	maxCutLines = 512
)

var (
	recorded = metric.NewCounter("Usage.Recorded", "Requests whose usage was counted by this daemon.")
	wasted   = metric.NewCounter("Usage.WastedTokens", "Generated tokens that no caller was given: lost, repeated or cancelled. They are not billed.")
)

// Usage is what one request used.
type Usage struct {
	RequestID string
	Team      string
	Class     string
	Backend   string
	// PromptTokens and OutputTokens are what the caller is billed for.
	PromptTokens int
	OutputTokens int
	// WastedTokens were generated and not given to the caller.
	WastedTokens int
	// Ended is when the request ended, on this daemon's clock.
	Ended clock.Millis
}

type lineKey struct {
	team    string
	class   string
	backend string
}

func (k lineKey) compare(other lineKey) int {
	return cmp.Or(
		cmp.Compare(k.team, other.team),
		cmp.Compare(k.class, other.class),
		cmp.Compare(k.backend, other.backend),
	)
}

type counts struct {
	requests     int64
	promptTokens int64
	outputTokens int64
}

type shard struct {
	mu    sync.Mutex
	lines map[lineKey]*counts
}

// Meter counts usage. Its methods may be called concurrently.
type Meter struct {
	shards [shardCount]shard
	next   atomic.Uint32
}

// New returns a Meter that has counted nothing.
func New() *Meter {
	m := &Meter{}
	for i := range m.shards {
		m.shards[i].lines = make(map[lineKey]*counts)
	}
	return m
}

// Record counts a request.
func (m *Meter) Record(u Usage) {
	recorded.Add(1)
	if u.WastedTokens > 0 {
		wasted.Add(int64(u.WastedTokens))
	}
	m.add(lineKey{team: u.Team, class: u.Class, backend: u.Backend}, counts{
		requests:     1,
		promptTokens: int64(u.PromptTokens),
		outputTokens: int64(u.OutputTokens),
	})
}

func (m *Meter) add(key lineKey, more counts) {
	s := &m.shards[xxhash.Sum64String(key.team)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.lines[key]
	if line == nil {
		line = &counts{}
		s.lines[key] = line
	}
	line.requests += more.requests
	line.promptTokens += more.promptTokens
	line.outputTokens += more.outputTokens
}

// LineCount returns how many lines wait to be cut.
func (m *Meter) LineCount() (count int) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		count += len(s.lines)
		s.mu.Unlock()
	}
	return count
}

// TakePayload takes the counts so far, at most maxCutLines of them, and returns them
// encoded. ok is false when there are none.
func (m *Meter) TakePayload() (payload []byte, ok bool) {
	var taken []usage.Line
	first := m.next.Add(1)
	for i := range uint32(shardCount) {
		taken = m.shards[(first+i)%shardCount].take(taken)
	}
	if len(taken) == 0 {
		return nil, false
	}
	return Encode(taken), true
}

func (s *shard) take(taken []usage.Line) []usage.Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, line := range s.lines {
		if len(taken) == maxCutLines {
			break
		}
		taken = append(taken, usage.Line{
			Team:         key.team,
			Class:        key.class,
			Backend:      key.backend,
			Requests:     line.requests,
			PromptTokens: line.promptTokens,
			OutputTokens: line.outputTokens,
		})
		delete(s.lines, key)
	}
	return taken
}

// columns is the encoded form of lines. Teams, classes and back ends are named
// once; the lines refer to them by index.
type columns struct {
	Names        []string
	Team         []int
	Class        []int
	Backend      []int
	Requests     []int64
	PromptTokens []int64
	OutputTokens []int64
}

// Encode encodes lines in the order of team, class and back end.
func Encode(lines []usage.Line) []byte {
	lines = slices.Clone(lines)
	slices.SortFunc(lines, compareLines)
	var c columns
	index := make(map[string]int)
	name := func(text string) int {
		i, known := index[text]
		if !known {
			i = len(c.Names)
			index[text] = i
			c.Names = append(c.Names, text)
		}
		return i
	}
	for _, line := range lines {
		c.Team = append(c.Team, name(line.Team))
		c.Class = append(c.Class, name(line.Class))
		c.Backend = append(c.Backend, name(line.Backend))
		c.Requests = append(c.Requests, line.Requests)
		c.PromptTokens = append(c.PromptTokens, line.PromptTokens)
		c.OutputTokens = append(c.OutputTokens, line.OutputTokens)
	}
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&c); err != nil {
		panic("meter: lines cannot be encoded: " + err.Error())
	}
	return out.Bytes()
}

func compareLines(a, b usage.Line) int {
	return lineKey{team: a.Team, class: a.Class, backend: a.Backend}.
		compare(lineKey{team: b.Team, class: b.Class, backend: b.Backend})
}

// Decode returns the lines that Encode encoded.
func Decode(payload []byte) (lines []usage.Line, err error) {
	defer func() { err = oops.Wrapf(err, "decode usage") }()
	var c columns
	if err := msgpack.Unmarshal(payload, &c); err != nil {
		return nil, err
	}
	n := len(c.Team)
	for _, length := range []int{len(c.Class), len(c.Backend), len(c.Requests), len(c.PromptTokens), len(c.OutputTokens)} {
		if length != n {
			return nil, oops.Errorf("columns of %d and %d values", n, length)
		}
	}
	for i := range n {
		if !c.named(c.Team[i]) || !c.named(c.Class[i]) || !c.named(c.Backend[i]) {
			return nil, oops.Errorf("line %d refers to a name that is missing", i)
		}
		lines = append(lines, usage.Line{
			Team:         c.Names[c.Team[i]],
			Class:        c.Names[c.Class[i]],
			Backend:      c.Names[c.Backend[i]],
			Requests:     c.Requests[i],
			PromptTokens: c.PromptTokens[i],
			OutputTokens: c.OutputTokens[i],
		})
	}
	return lines, nil
}

func (c *columns) named(index int) bool {
	return index >= 0 && index < len(c.Names)
}

// Sum adds up lines of the same team, class and back end and returns them in
// order.
func Sum(lines []usage.Line) (sums []usage.Line) {
	sorted := slices.Clone(lines)
	slices.SortFunc(sorted, compareLines)
	for _, line := range sorted {
		last := len(sums) - 1
		if last < 0 || compareLines(sums[last], line) != 0 {
			sums = append(sums, line)
			continue
		}
		sums[last].Requests += line.Requests
		sums[last].PromptTokens += line.PromptTokens
		sums[last].OutputTokens += line.OutputTokens
	}
	return sums
}
