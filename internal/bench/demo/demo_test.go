package demo_test

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/banyanshift/banyanshift/internal/bench/verdict"
)

// TestDemoOfOneDeployment runs real processes: three daemons with the
// stand-ins around them.
func TestDemoOfOneDeployment(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir+"/", "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	demo := exec.Command(filepath.Join(dir, "banyanbench"), "demo", "--json", "--duration", "3s",
		"--deployments", "halvorsen", "--banyanshift", filepath.Join(dir, "banyanshift"))
	var out, progress bytes.Buffer
	demo.Stdout, demo.Stderr = &out, &progress
	err := demo.Run()
	if err != nil {
		t.Errorf("demo: got error %v, want none; standard error:\n%s", err, progress.String())
	}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	var report verdict.Report
	if err := json.Unmarshal(lines[len(lines)-1], &report); err != nil {
		t.Fatalf("decode the last line %q of the output: %v", lines[len(lines)-1], err)
	}
	if report.Completed == 0 || report.Windows == 0 || len(report.Attainment) == 0 {
		t.Errorf("got report %s, want completed calls, windows and attainment", lines[len(lines)-1])
	}
}
