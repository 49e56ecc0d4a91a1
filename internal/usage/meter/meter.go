// Package meter counts the requests and tokens that one daemon serves, by team,
// class and back end, and encodes the counts as payloads of usage batches.
//
// Record is called once per served request, with the tokens that were delivered
// to the caller, even if the request was retried or resumed. Lost and repeated
// work is not billed; a separate metric counts it for operators.
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
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
)

const (
	// shardCount is the number of shards, each with its own lock.
	shardCount = 16
	// maxPayloadLines is the maximum number of lines in one payload.
	maxPayloadLines = 512
)

var (
	recordedRequests = metric.NewCounter("Usage.Recorded", "Requests whose usage was counted by this daemon.")
	wastedTokens     = metric.NewCounter("Usage.WastedTokens", "Generated tokens that were not delivered to a caller: lost, repeated or canceled. They are not billed.")
)

// Usage is the resource usage of one request.
type Usage struct {
	RequestID string
	Team      string
	Class     string
	Backend   string
	// PromptTokens and OutputTokens are billed to the caller.
	PromptTokens int
	OutputTokens int
	// WastedTokens is the number of tokens that were generated but not
	// delivered to the caller.
	WastedTokens int
	// Ended is the time at which the request ended, on this daemon's clock.
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

// Meter counts usage. It is safe for concurrent use.
type Meter struct {
	shards     [shardCount]shard
	firstShard atomic.Uint32
}

// New returns an empty Meter.
func New() *Meter {
	m := &Meter{}
	for i := range m.shards {
		m.shards[i].lines = make(map[lineKey]*counts)
	}
	return m
}

// Record adds the usage of one served request.
func (m *Meter) Record(u Usage) {
	recordedRequests.Add(1)
	if u.WastedTokens > 0 {
		wastedTokens.Add(int64(u.WastedTokens))
	}
	m.add(lineKey{team: u.Team, class: u.Class, backend: u.Backend}, counts{
		requests:     1,
		promptTokens: int64(u.PromptTokens),
		outputTokens: int64(u.OutputTokens),
	})
}

func (m *Meter) add(key lineKey, delta counts) {
	s := &m.shards[xxhash.Sum64String(key.team)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.lines[key]
	if line == nil {
		line = &counts{}
		s.lines[key] = line
	}
	line.requests += delta.requests
	line.promptTokens += delta.promptTokens
	line.outputTokens += delta.outputTokens
}

// LineCount returns the number of lines that TakePayload has not taken yet.
func (m *Meter) LineCount() (count int) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		count += len(s.lines)
		s.mu.Unlock()
	}
	return count
}

// TakePayload removes up to maxPayloadLines lines from the meter and returns them
// encoded. ok is false if the meter is empty. Each call starts at the next shard,
// so that the limit does not always leave out the same shards.
func (m *Meter) TakePayload() (payload []byte, ok bool) {
	var taken []usage.Line
	first := m.firstShard.Add(1)
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
		if len(taken) == maxPayloadLines {
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

// columns is the encoded form of lines. Names holds each name of a team, class
// or back end once; Team, Class and Backend hold indexes into Names.
type columns struct {
	Names        []string
	Team         []int
	Class        []int
	Backend      []int
	Requests     []int64
	PromptTokens []int64
	OutputTokens []int64
}

// Encode encodes lines, sorted by team, class and back end.
func Encode(lines []usage.Line) []byte {
	lines = slices.Clone(lines)
	slices.SortFunc(lines, compareLines)
	var c columns
	index := make(map[string]int)
	nameIndex := func(text string) int {
		i, known := index[text]
		if !known {
			i = len(c.Names)
			index[text] = i
			c.Names = append(c.Names, text)
		}
		return i
	}
	for _, line := range lines {
		c.Team = append(c.Team, nameIndex(line.Team))
		c.Class = append(c.Class, nameIndex(line.Class))
		c.Backend = append(c.Backend, nameIndex(line.Backend))
		c.Requests = append(c.Requests, line.Requests)
		c.PromptTokens = append(c.PromptTokens, line.PromptTokens)
		c.OutputTokens = append(c.OutputTokens, line.OutputTokens)
	}
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&c); err != nil {
		panic("meter: failed to encode usage lines: " + err.Error())
	}
	return out.Bytes()
}

func compareLines(a, b usage.Line) int {
	return lineKey{team: a.Team, class: a.Class, backend: a.Backend}.
		compare(lineKey{team: b.Team, class: b.Class, backend: b.Backend})
}

// Decode decodes a payload that Encode returned.
func Decode(payload []byte) (lines []usage.Line, err error) {
	defer func() { err = oops.Wrapf(err, "decode usage") }()
	var c columns
	if err := packed.Unmarshal(payload, &c); err != nil {
		return nil, err
	}
	n := len(c.Team)
	for _, length := range []int{len(c.Class), len(c.Backend), len(c.Requests), len(c.PromptTokens), len(c.OutputTokens)} {
		if length != n {
			return nil, oops.Errorf("columns have different lengths: %d and %d", n, length)
		}
	}
	for i := range n {
		if !c.hasName(c.Team[i]) || !c.hasName(c.Class[i]) || !c.hasName(c.Backend[i]) {
			return nil, oops.Errorf("line %d has a name index out of range", i)
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

func (c *columns) hasName(index int) bool {
	return index >= 0 && index < len(c.Names)
}

// Sum merges lines of the same team, class and back end by adding their counts.
// The result is sorted by team, class and back end.
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
