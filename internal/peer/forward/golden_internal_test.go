package forward

import (
	"testing"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/standin/golden"
)

func TestGoldenMessages(t *testing.T) {
	golden.Check(t, "forward", frame.Encode, frame.Decode, map[string]any{
		"open": &open{}, "opened": &opened{}, "requestHead": &requestHead{}, "answerHead": &answerHead{}, "end": &end{},
	})
}
