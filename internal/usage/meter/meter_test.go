package meter

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"

	"github.com/banyanshift/banyanshift/internal/platform/usage"
)

// TestNothingIsLostOrDoubledBetweenCuts takes payloads while other goroutines
// record. A request that is recorded during TakePayload must appear in exactly
// one payload.
func TestNothingIsLostOrDoubledBetweenCuts(t *testing.T) {
	m := New()
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 2000 {
				m.Record(Usage{Team: fmt.Sprint("team", (i*w)%700), Class: "c", Backend: "b", PromptTokens: 2, OutputTokens: 3})
			}
		}()
	}
	stop := make(chan struct{})
	go func() { wg.Wait(); close(stop) }()
	var all []usage.Line
	for done := false; !done; {
		select {
		case <-stop:
			done = true
		default:
		}
		for {
			payload, ok := m.TakePayload()
			if !ok {
				break
			}
			lines, err := Decode(payload)
			if err != nil {
				t.Fatal(err)
			}
			if len(lines) > maxPayloadLines {
				t.Fatalf("got %d lines in one payload, want at most maxPayloadLines", len(lines))
			}
			all = append(all, lines...)
		}
	}
	var total usage.Line
	for _, line := range Sum(all) {
		total.Requests += line.Requests
		total.PromptTokens += line.PromptTokens
		total.OutputTokens += line.OutputTokens
	}
	if total.Requests != 8000 || total.PromptTokens != 16000 || total.OutputTokens != 24000 {
		t.Fatalf("got total %+v, want 8000 requests, 16000 prompt tokens and 24000 output tokens", total)
	}
}

func TestEncodingIsCanonical(t *testing.T) {
	lines := []usage.Line{
		{Team: "b", Class: "x", Backend: "m", Requests: 1, PromptTokens: 1 << 40, OutputTokens: 7},
		{Team: "a", Class: "b", Backend: "m", Requests: 300, PromptTokens: 2, OutputTokens: 0},
	}
	swapped := []usage.Line{lines[1], lines[0]}
	if !reflect.DeepEqual(Encode(lines), Encode(swapped)) {
		t.Fatal("encoded bytes depend on the order of the lines")
	}
	decoded, err := Decode(Encode(lines))
	if err != nil || !reflect.DeepEqual(decoded, swapped) {
		t.Fatalf("got %+v, error %v; want the lines in sorted order", decoded, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]usage.Line{{Team: "a", Class: "b", Backend: "c", Requests: 1}}))
	f.Add([]byte("\x81\xa4Team\x91\x05"))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		_, _ = Decode(payload)
	})
}

func BenchmarkRecord(b *testing.B) {
	m := New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Record(Usage{Team: "halvorsen", Class: "summary", Backend: "llama-70b", PromptTokens: 800, OutputTokens: 95})
		}
	})
}

// BenchmarkPayload reports the payload size for a number of requests from 40,000
// teams with Zipf-distributed traffic, as one daemon of the planned deployment
// serves them between two payloads.
func BenchmarkPayload(b *testing.B) {
	for _, requests := range []int{10, 40, 120, 400} {
		b.Run(fmt.Sprint(requests), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			zipf := rand.NewZipf(rng, 1.1, 10, 40000)
			bytes, lines := 0, 0
			for b.Loop() {
				m := New()
				for range requests {
					m.Record(Usage{
						Team:         fmt.Sprintf("team-%05d", zipf.Uint64()),
						Class:        fmt.Sprintf("class-%d", rng.IntN(5)),
						Backend:      fmt.Sprintf("model-%02d", rng.IntN(13)),
						PromptTokens: rng.IntN(4000), OutputTokens: rng.IntN(600),
					})
				}
				lines += m.LineCount()
				payload, _ := m.TakePayload()
				bytes += len(payload)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/payload")
			b.ReportMetric(float64(bytes)/float64(lines), "bytes/line")
		})
	}
}
