package crashnews

import (
	"testing"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/standin/golden"
)

func TestGoldenMessagesAndRow(t *testing.T) {
	golden.Check(t, "crashnews", frame.Encode, frame.Decode, map[string]any{
		"news": &news{}, "bookRequest": &bookRequest{}, "trialRequest": &trialRequest{}, "trialAnswer": &trialAnswer{},
		"trialEnd": &trialEnd{}, "keptRow": &keptCrashes{},
	})
}
