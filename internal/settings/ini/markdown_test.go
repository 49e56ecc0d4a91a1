package ini

import (
	"os"
	"testing"
)

func TestSettingsPageIsFresh(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/SETTINGS.md is stale: run 'make docs'")
	}
}
