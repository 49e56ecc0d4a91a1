package fleet

import (
	"testing"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/topology"
	"github.com/banyanshift/banyanshift/internal/standin/golden"
)

func TestGoldenMessagesAndRows(t *testing.T) {
	golden.Check(t, "fleet", frame.Encode, frame.Decode, map[string]any{
		"ping": &ping{}, "pong": &pong{}, "reports": &reports{}, "endpointChanges": &endpointChanges{}, "news": &news{},
		"documentRequest": &documentRequest{}, "documentAnswer": &documentAnswer{},
		"endpointsRequest": &endpointsRequest{}, "endpointsAnswer": &endpointsAnswer{},
		"usageRequest": &usageRequest{}, "usageAnswer": &usageAnswer{},
		"startedStreams": &startedStreams{}, "originRequest": &originRequest{}, "originAnswer": &originAnswer{},
		"vmRow": &topology.VM{}, "versionsRow": &versionsRecord{},
	})
}
