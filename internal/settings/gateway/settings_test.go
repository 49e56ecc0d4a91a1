package gateway_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/settings/gateway"
)

const validSettings = `[Daemon]
ID = vm-1
FailureDomain = a
MemoryLimit = 134MiB
Grace = 8s

[Caller]
Listen = 10.1.0.19:8227

[Readiness]
Listen = 10.1.0.19:8220

[Peer]
Listen = 10.1.0.19:7340
Seeds = 10.1.0.19:8229,10.2.0.36:8229

[Platform]
Store = 10.200.1.7:8223
Duties =

[Bounds]
RetryRatio = 0.2
RetryExtra =
`

func load(t *testing.T, text string) (gateway.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return gateway.Load(path)
}

func TestSettingsWithoutAValueKeepTheirDefault(t *testing.T) {
	s, err := load(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Daemon.ID != "vm-1" || s.Daemon.MemoryLimit != 134<<20 || s.Bounds.RetryRatio != 0.2 || s.Bounds.RetryExtra != 20 || s.Bounds.LeaseTime != 3*clock.Second {
		t.Errorf("got %+v", s)
	}
}

func TestAllProblemsAreListed(t *testing.T) {
	invalid := strings.NewReplacer("ID = vm-1\n", "", "134MiB", "much", "[Peer]\nListen = 10.1.0.19:7340", "[Peer]\nListen = here", "RetryRatio = 0.2", "RetryRatio = -1\nUnheard = 7").Replace(validSettings)
	_, err := load(t, invalid)
	if err == nil {
		t.Fatal("Load accepted an invalid file, want an error")
	}
	for _, part := range []string{"Daemon.ID is missing", "MemoryLimit", "Peer.Listen", "RetryRatio", "Unheard"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error %q does not mention %s", err, part)
		}
	}
}

func TestMissingFileIsAProblem(t *testing.T) {
	if _, err := gateway.Load(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("Load accepted a missing file, want an error")
	}
}

func TestPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/GATEWAY-SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != gateway.Markdown() {
		t.Error("docs/GATEWAY-SETTINGS.md is out of date: run 'make docs'")
	}
}
