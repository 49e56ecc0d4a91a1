package build

import (
	"runtime/debug"
	"testing"
)

func TestRevisionNamesTheCommit(t *testing.T) {
	for _, c := range []struct {
		settings []debug.BuildSetting
		want     string
	}{
		{nil, "unknown"},
		{[]debug.BuildSetting{{Key: "vcs.revision", Value: "479de8f0123456789abc"}, {Key: "vcs.modified", Value: "false"}}, "479de8f01234"},
		{[]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, {Key: "vcs.revision", Value: "479de8f"}}, "479de8f+"},
	} {
		if got := revision(c.settings); got != c.want {
			t.Errorf("got the revision %q of %v, want %q", got, c.settings, c.want)
		}
	}
}
