package permit

import (
	"testing"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/standin/golden"
)

func TestGoldenMessages(t *testing.T) {
	golden.Check(t, "permit", frame.Encode, frame.Decode, map[string]any{
		"permitRequest": &permitRequest{}, "permitAnswer": &permitAnswer{}, "permitEnd": &permitEnd{},
	})
}
