package openai

import (
	"runtime"
	"strings"
	"testing"
)

// TestParsingTakesLittleMemory guards against bodies whose parsing takes many times their bytes, so that
// one request ends the process.
func TestParsingTakesLittleMemory(t *testing.T) {
	const bodyBytes, maxPerByte = 4 << 20, 16
	fill := func(start, element, end string) []byte {
		count := (bodyBytes - len(start) - len(end)) / (len(element) + 1)
		return []byte(start + strings.Repeat(element+",", count-1) + element + end)
	}
	for name, test := range map[string]struct {
		body  []byte
		isBad bool
	}{
		"many fields":   {fill(`{"model":"m",`, `"a":1`, `}`), true},
		"many messages": {fill(`{"model":"m","messages":[`, `{}`, `]}`), true},
		"many parts":    {fill(`{"model":"m","messages":[{"role":"user","content":[`, `{}`, `]}]}`), true},
		"long text":     {fill(`{"model":"m","messages":[{"role":"user","content":"`, `text`, `"}]}`), false},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := parseBody(test.body, chatAPI)
		runtime.ReadMemStats(&after)
		if (err != nil) != test.isBad {
			t.Errorf("%s: got error %v", name, err)
		}
		if took := after.TotalAlloc - before.TotalAlloc; took > maxPerByte*bodyBytes {
			t.Errorf("%s: parsing took %d bytes for each of the body, want at most %d", name, took/bodyBytes, maxPerByte)
		}
	}
}
