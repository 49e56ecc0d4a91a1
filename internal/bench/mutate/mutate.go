// Package mutate implements the mutate command, a mutation test of the
// invariants. It copies the module, removes one mechanism at a time and checks
// that the test of its invariant fails. It must run from within the module.
//
// # Usage
//
//	banyanbench mutate --invariant WholeAnswers
package mutate

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/bench/factory"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	// Invariant limits the run to one invariant; empty for all.
	Invariant string
}

// NewCmdMutate returns the command. runF replaces its action in tests.
func NewCmdMutate(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "mutate",
		Short: "Remove each mechanism and check that its test fails",
		Long: `Copy the module, remove the mechanisms of the invariants one at a time and run
the test of each. The exit code is 0 only if every test passes on the original
source and fails when its mechanism is removed.`,
		Example: `  $ banyanbench mutate
  $ banyanbench mutate --invariant DuplicateRuns`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return mutateRun(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Invariant, "invariant", "", "Only this invariant")
	return cmd
}

// errSurvived reports mutations that are missed or broken.
var errSurvived = errors.New("some mutations were not detected by their tests")

func mutateRun(opts *Options) (err error) {
	ctx := opts.Factory.StopContext()
	dir, err := os.MkdirTemp("", "banyanshift-mutate-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if err := copyModule(ctx, dir); err != nil {
		return err
	}
	table := tabwriter.NewWriter(opts.Factory.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INVARIANT\tTAKEN OUT\tTEST\tRESULT")
	survived := false
	for _, m := range mutations {
		if opts.Invariant != "" && opts.Invariant != m.Invariant {
			continue
		}
		result, err := m.try(ctx, dir)
		if err != nil {
			return err
		}
		survived = survived || result != found
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", m.Invariant, m.What, m.Test, result)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if survived {
		return fmt.Errorf("%w: %w", factory.ErrInvariantViolated, errSurvived)
	}
	return nil
}

// copyModule copies the files that Git tracks in the module's repository.
func copyModule(ctx context.Context, dir string) (err error) {
	defer func() { err = oops.Wrapf(err, "copy the module") }()
	listed, err := exec.CommandContext(ctx, "git", "ls-files", "-z", "--full-name", ":/").Output()
	if err != nil {
		return err
	}
	top, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return err
	}
	for _, name := range strings.Split(strings.TrimRight(string(listed), "\x00"), "\x00") {
		data, err := os.ReadFile(filepath.Join(strings.TrimSpace(string(top)), name))
		if err != nil {
			return err
		}
		target := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// result is the outcome of a mutation.
type result string

const (
	// found means that the test passes with the mechanism and fails without it.
	found result = "found"
	// missed means that the test does not fail without the mechanism.
	missed result = "MISSED"
	// broken means that the test does not pass on the original source, or that
	// go vet fails on the changed source.
	broken result = "BROKEN"
)

// mutation is a change of the source that removes one mechanism.
type mutation struct {
	Invariant string
	// What describes the mechanism.
	What  string
	Edits []edit
	// Package contains Test, which must fail after the change.
	Package string
	Test    string
}

// edit replaces Old, which must occur exactly once in the file, with New.
type edit struct {
	File string
	Old  string
	New  string
}

// apply makes the change in the copy at dir and returns a function that
// restores the file.
func (e edit) apply(dir string) (undo func() error, err error) {
	path := filepath.Join(dir, e.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if strings.Count(string(original), e.Old) != 1 {
		return nil, fmt.Errorf("text to replace must occur exactly once in %s: %q", e.File, e.Old)
	}
	changed := strings.Replace(string(original), e.Old, e.New, 1)
	undo = func() error { return os.WriteFile(path, original, 0o600) }
	return undo, os.WriteFile(path, []byte(changed), 0o600)
}

// try runs the test with and without the mechanism.
func (m mutation) try(ctx context.Context, dir string) (r result, err error) {
	defer func() { err = oops.Wrapf(err, "mutate %s", m.What) }()
	if m.runTest(ctx, dir) != passed {
		return broken, nil
	}
	for _, e := range m.Edits {
		undo, err := e.apply(dir)
		if err != nil {
			return broken, err
		}
		defer func() { err = errors.Join(err, undo()) }()
	}
	if goCommand(ctx, dir, "vet", m.Package).Run() != nil {
		return broken, nil
	}
	if m.runTest(ctx, dir) == failed {
		return found, nil
	}
	return missed, nil
}

// testResult is the outcome of one run of a test.
type testResult int

const (
	passed testResult = iota
	failed
	// notRun means that the package has no such test.
	notRun
)

func (m mutation) runTest(ctx context.Context, dir string) testResult {
	output, err := goCommand(ctx, dir, "test", "-count=1", "-timeout=120s", "-run", "^"+m.Test+"$", m.Package).CombinedOutput()
	switch {
	case strings.Contains(string(output), "no tests to run"):
		return notRun
	case err != nil:
		return failed
	}
	return passed
}

func goCommand(ctx context.Context, dir string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	return cmd
}
