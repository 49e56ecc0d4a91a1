package openai

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/banyanshift/banyanshift/internal/standin/answer"
)

// TestCallerGetsNoMalformedAnswer guards against answers of engines whose status or fields are none,
// which the parser of the standard library takes for sound ones. The raw answers are streams of one
// token, "raw", on connections that end with them.
func TestCallerGetsNoMalformedAnswer(t *testing.T) {
	const total = 3
	const stream = "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"raw\"},\"finish_reason\":\"stop\"}],\"token\":0}\n\ndata: [DONE]\n\n"
	answers := append(answer.Malformed(), answer.Sound()...)
	malformed := len(answer.Malformed())
	rawEngine := &fakeEngine{fault: raw}
	r := newTestServer(t, rawEngine, &fakeEngine{totalTokens: total})
	for number, a := range answers {
		rawEngine.raw = func(id string) string {
			return a.Text("Connection: close\r\nRequest-Id: "+id+"\r\n", fmt.Sprintf(stream, id))
		}
		want := "raw"
		if number < malformed {
			want = expectedText(total)
		}
		for _, isStream := range []bool{false, true} {
			r.next.Store(0)
			resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, fmt.Sprintf(`,"stream":%v`, isStream)))
			var text string
			if isStream {
				text, _ = readStream(t, resp.Body)
			} else {
				text = readCompletion(t, resp.Body)
			}
			if resp.StatusCode != http.StatusOK || text != want {
				t.Errorf("%s, stream=%v: got status %d, text %q, want %q", a.Name, isStream, resp.StatusCode, text, want)
			}
		}
	}
}
