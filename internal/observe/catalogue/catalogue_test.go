package catalogue_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode"

	// The daemons import every package that declares events and metrics.
	_ "github.com/banyanshift/banyanshift/internal/daemon/gateway"
	_ "github.com/banyanshift/banyanshift/internal/daemon/serve"
	"github.com/banyanshift/banyanshift/internal/observe/catalogue"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

func TestPagesAreUpToDate(t *testing.T) {
	pages := map[string]string{"EVENTS.md": catalogue.Events(), "METRICS.md": catalogue.Metrics()}
	for name, want := range pages {
		page, err := os.ReadFile("../../../docs/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if string(page) != want {
			t.Errorf("docs/%s is out of date: run 'make docs'", name)
		}
	}
}

func TestEventsFollowConventions(t *testing.T) {
	if len(event.All()) < 10 {
		t.Errorf("got %d declared events, want at least 10", len(event.All()))
	}
	for _, declared := range event.All() {
		if catalogue.Area(declared.Number) == "" {
			t.Errorf("event %d belongs to no area", declared.Number)
		}
		first := []rune(declared.Message + " ")[0]
		if unicode.IsUpper(first) && !strings.HasPrefix(declared.Message, "HTTP") || strings.HasSuffix(declared.Message, ".") {
			t.Errorf("event %d: message %q must start in lower case and not end with a full stop", declared.Number, declared.Message)
		}
		if !strings.HasSuffix(declared.Help, ".") {
			t.Errorf("event %d: help %q must end with a full stop", declared.Number, declared.Help)
		}
	}
}

func TestMetricsFollowConventions(t *testing.T) {
	if len(metric.All()) < 5 {
		t.Errorf("got %d declared metrics, want at least 5", len(metric.All()))
	}
	name := regexp.MustCompile(`^[A-Z][A-Za-z]+(\.[A-Z][A-Za-z]+)+$`)
	for _, declared := range metric.All() {
		if !name.MatchString(declared.Name) {
			t.Errorf("metric %q must be named Area.Name", declared.Name)
		}
		if !strings.HasSuffix(declared.Help, ".") {
			t.Errorf("metric %s: help %q must end with a full stop", declared.Name, declared.Help)
		}
	}
}
