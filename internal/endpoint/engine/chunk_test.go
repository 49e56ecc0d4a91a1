package engine

import (
	"encoding/json"
	"errors"
	"testing"
)

func TestDecodeChunk(t *testing.T) {
	tests := []struct {
		name string
		data string
		want rawChunk
	}{
		{"chat", `{"id":"r","x":[{"y":1}],"choices":[{"index":0,"delta":{"role":"assistant","content":"grain "},"finish_reason":null}],"token":3}`,
			rawChunk{id: "r", text: "grain ", token: 3, hasToken: true}},
		{"completion", `{"id":"r","choices":[{"text":"a\u00e9","finish_reason":"stop"}]}`, rawChunk{id: "r", text: "aé", finishReason: "stop"}},
		{"no choices", `{"id":"r","choices":[]}`, rawChunk{id: "r"}},
		{"null choices", `{"id":"r","choices":null}`, rawChunk{id: "r"}},
		{"null delta", `{"id":"r","choices":[{"delta":null}]}`, rawChunk{id: "r"}},
		{"two choices", `{"id":"r","choices":[{"text":"a"},{"text":"b"}]}`, rawChunk{id: "r", text: "a"}},
		{"tool call", `{"id":"r","choices":[{"delta":{"content":null,"tool_calls":[{"index":0}]}}]}`, rawChunk{id: "r", hasOtherContent: true}},
		{"reasoning", `{"id":"r","choices":[{"delta":{"reasoning_content":"so"}}]}`, rawChunk{id: "r", hasOtherContent: true}},
		{"empty content", `{"id":"r","choices":[{"delta":{"role":"assistant","content":"","tool_calls":[],"reasoning_content":"","x":null}}]}`, rawChunk{id: "r"}},
		{"error", `{"id":"r","error":{"message":"x"}}`, rawChunk{id: "r", hasError: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := decodeChunk([]byte(tt.data))
			if err != nil || got != tt.want {
				t.Errorf("got %+v, %v; want %+v", got, err, tt.want)
			}
		})
	}
}

func TestValidateRejectsMalformedChunks(t *testing.T) {
	for _, data := range []string{``, `{`, `[]`, `{"id":"r"`, `{"id":"r"}x`, `{"id":3}`, `{"id":"r","choices":{}}`, `{"id":"r","token":"x"}`, `{"id":"r","choices":[{"text":1}]}`} {
		v := validator{requestID: "r"}
		if _, err := v.validate([]byte(data)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: got error %v, want ErrMalformed", data, err)
		}
	}
}

// FuzzDecodeChunk compares the decoded ID with that of the standard library's
// decoder.
func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"id":"r","choices":[{"delta":{"content":"grain "},"finish_reason":null}],"token":3}`))
	f.Add([]byte(`{"id":"r","choices":[{"text":"x"}],"usage":{"prompt_tokens":3,"completion_tokens":5}}`))
	f.Add([]byte(`{"id":"r","error":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decodeChunk(data)
		if err != nil {
			return
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal(data, &fields) != nil {
			return
		}
		var id string
		if json.Unmarshal(fields["id"], &id) == nil && id != got.id {
			t.Errorf("%q: got id %q, want %q", data, got.id, id)
		}
	})
}

func BenchmarkValidate(b *testing.B) {
	data := []byte(`{"id":"vm-1.5f21a0b3c4d5-2q","object":"chat.completion.chunk","model":"prairie-coder","choices":[{"index":0,"delta":{"content":"w39s4 "},"finish_reason":null}],"token":0}`)
	b.ReportAllocs()
	for b.Loop() {
		v := validator{requestID: "vm-1.5f21a0b3c4d5-2q"}
		if _, err := v.validate(data); err != nil {
			b.Fatal(err)
		}
	}
}
