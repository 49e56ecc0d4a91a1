package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/hostile"
)

// hostileCallers is the number of callers that get hostile answers, before it is doubled.
const hostileCallers = 150

// chatBody is the body of a request for a chat, as a stream or not.
const chatBody = `{"model":"prairie-coder","messages":[{"role":"user","content":"how much grain"}],"max_tokens":4,"stream":%v}`

// troubledDaemon is a daemon some of whose endpoints are in trouble.
type troubledDaemon struct {
	t       *testing.T
	address string
	key     string
	watch   hostile.Watch
}

// startTroubled starts a deployment whose endpoints of the given back ends answer in one way.
func startTroubled(t *testing.T, programs, kind string, isTroubled func(endpoint entity.Endpoint) bool) *troubledDaemon {
	r, d := startLimitedDaemon(t, programs)
	trouble := &troubledDaemon{
		t: t, address: d.Caller, key: r.Keys.Active("stats-manitoba")[0].Secret,
		watch: hostile.Watch{PID: d.Process.PID(), Address: netip.MustParseAddrPort(d.Caller), Interval: 5 * clock.Millisecond},
	}
	for _, endpoint := range listEndpoints(t, r) {
		if isTroubled(endpoint) {
			trouble.watch.Servers = append(trouble.watch.Servers, netip.MustParseAddrPort(endpoint.Address))
			if err := r.SetEndpointFault(context.Background(), endpoint.ID, host.Fault{Answer: kind}); err != nil {
				t.Fatal(err)
			}
		}
	}
	return trouble
}

func listEndpoints(t *testing.T, r *rig.Rig) (endpoints []entity.Endpoint) {
	if err := r.CallPlatform(context.Background(), http.MethodGet, "/endpoints", nil, &endpoints); err != nil {
		t.Fatal(err)
	}
	return endpoints
}

// chat returns a request for a chat, with or without a stream.
func (d *troubledDaemon) chat(stream bool) string {
	content := fmt.Sprintf(chatBody, stream)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", d.key, len(content), content)
}

// play sends requests of many callers, half of whom read their answers, and checks what the daemon holds
// and that it serves an ordinary request beside them.
func (d *troubledDaemon) play(requests []string, served func(when string)) {
	d.watch.Start()
	var clients []*hostile.Clients
	for _, request := range requests {
		for _, behavior := range []hostile.Behavior{hostile.Reading(request), hostile.Unread(request)} {
			clients = append(clients, hostile.Start(d.address, hostileCallers/2/len(requests), behavior))
		}
	}
	time.Sleep(hostileStay.Duration() / 2)
	for _, c := range clients {
		c.Grow(hostileCallers / 2 / len(requests))
	}
	time.Sleep(hostileStay.Duration())
	served("beside")
	for _, c := range clients {
		c.Stop()
	}
	served("after")
	expectWithinLimits(d.t, &d.watch)
}

// TestHostileAnswersStayWithinTheLimitsOfADaemon guards against a daemon that is killed, or serves
// nobody, since services or engines in trouble send answers without end, or answers that stand still, to
// many callers. Twice as many may not need more.
func TestHostileAnswersStayWithinTheLimitsOfADaemon(t *testing.T) {
	programs := buildPrograms(t)
	for _, kind := range []string{"body by length", "body that stands still", "head that stands still", "long errors", "trailer"} {
		t.Run("services, "+kind, func(t *testing.T) {
			d := startTroubled(t, programs, "", func(entity.Endpoint) bool { return false })
			request := fmt.Sprintf("GET /status/today?%s=%s HTTP/1.1\r\nHost: h.example\r\n\r\n", host.AnswerParameter, url.QueryEscape(kind))
			d.play([]string{request}, func(when string) {
				waitRequestServed(t, when, func() (*http.Request, error) {
					r, err := http.NewRequest(http.MethodPost, "http://"+d.address+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(chatBody, false)))
					if err == nil {
						r.Header.Set("Authorization", "Bearer "+d.key)
					}
					return r, err
				})
			})
		})
	}
	for _, kind := range []string{"first event", "event that stands still", "later event", "events", "fields"} {
		t.Run("engines, "+kind, func(t *testing.T) {
			d := startTroubled(t, programs, kind, func(endpoint entity.Endpoint) bool { return endpoint.Backend != "ledger" })
			d.play([]string{d.chat(true), d.chat(false)}, func(when string) { waitServed(t, d.address, when) })
		})
	}
}
