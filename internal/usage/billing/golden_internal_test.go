package billing

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/internal/standin/golden"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

func TestGoldenRows(t *testing.T) {
	golden.Check(t, "billing", msgpack.Marshal, msgpack.Unmarshal, map[string]any{
		"sealedWindow": &sealRow{}, "openWindow": &tally.WindowSnapshot{}, "eraRow": &eraRecord{},
	})
}
