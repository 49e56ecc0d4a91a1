package ini

import (
	"os"
	"testing"
)

func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/SETTINGS.md is out of date: run 'make docs'")
	}
}
