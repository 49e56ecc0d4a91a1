package lease_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/internal/standin/golden"
)

func TestGoldenRow(t *testing.T) {
	golden.Check(t, "lease", msgpack.Marshal, msgpack.Unmarshal, map[string]any{"row": &lease.Row{}})
}
