package build

import (
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"testing"
)

// TestProgramWithoutACommitIsKnownByItsContent guards against logs that do not tell which build wrote
// them, since the program was built outside version control.
func TestProgramWithoutACommitIsKnownByItsContent(t *testing.T) {
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	printed, err := exec.Command("go", "tool", "buildid", path).Output()
	if err != nil {
		t.Fatal(err)
	}
	want, _ := strings.CutPrefix(contentID(), "id ")
	if want == "" || want == unknown || !strings.Contains(string(printed), want) {
		t.Errorf("got the ID %q, want the start of a part of %q", want, printed)
	}
}

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
