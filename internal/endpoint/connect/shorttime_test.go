package connect_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/path"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
)

// TestRequestThatEndsSaysNothingOfThePeerItAsked guards against peers that are asked last for all
// callers, since one had no time for their answer.
func TestRequestThatEndsSaysNothingOfThePeerItAsked(t *testing.T) {
	target := connect.Target{Endpoint: "e", Address: "127.0.0.1:1"}
	askedFirstAgain := 0
	for seed := range uint64(20) {
		var asked []string
		connector := connect.New(connect.Config{
			Clock: clock.System(), Logger: logrus.New(), Pool: newPool(nil), Rand: rand.New(rand.NewPCG(seed, 1)),
			Peers: func() []path.Peer { return []path.Peer{{Address: "p1"}, {Address: "p2"}} },
			Open: func(ctx context.Context, peer string, _ forward.Target) (*forward.Conn, error) {
				asked = append(asked, peer)
				if len(asked) == 1 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return nil, errors.New("no way")
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, _ = connector.Connect(ctx, target)
		cancel()
		_, _ = connector.Connect(t.Context(), target)
		if len(asked) < 2 {
			t.Fatalf("only %v were asked", asked)
		}
		if asked[1] == asked[0] {
			askedFirstAgain++
		}
	}
	if askedFirstAgain == 0 {
		t.Error("the peer that had no time to answer was asked last in 20 of 20 cases")
	}
}
