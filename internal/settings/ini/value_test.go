package ini

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// TestFormattedValuesAreReadBack checks that limits can be copied from messages
// and pages into a settings file.
func TestFormattedValuesAreReadBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("durations", prop.ForAll(func(number int64) bool {
		parsed, err := parseDuration(formatDuration(clock.Millis(number)))
		return err == nil && parsed == number
	}, gen.Int64Range(0, maxDuration)))
	properties.Property("sizes", prop.ForAll(func(number int64) bool {
		parsed, err := parseSize(formatSize(number))
		return err == nil && parsed == number
	}, gen.Int64Range(0, 1<<40)))
	properties.TestingRun(t)
}
