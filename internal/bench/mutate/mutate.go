// Package mutate is the command that takes the mechanism of each invariant out
// of a copy of the source, one at a time, and sees whether the tests that are
// meant to find that do fail. It must run from within the module.
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
		Short: "Take each mechanism out and see its tests fail",
		Long: `Copy the module, take out the mechanism of one invariant after the other and
run the tests that attack it. The exit code is 0 only if all of them fail, each
for its mechanism, and pass without the change.`,
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

// errSurvived says that a mechanism can be taken out without a test failing.
var errSurvived = errors.New("not every mechanism that was taken out was missed by a test")

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

// copyModule copies the files that the module's repository tracks.
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

// result says what became of a mutation.
type result string

const (
	// found says that the test passes with the mechanism and fails without.
	found result = "found"
	// missed says that the test passes without the mechanism.
	missed result = "MISSED"
	// broken says that the test fails with the mechanism too, or that the
	// changed source does not compile.
	broken result = "BROKEN"
)

// mutation takes one mechanism out.
type mutation struct {
	Invariant string
	// What names the mechanism.
	What  string
	Edits []edit
	// Package has the Test that must fail.
	Package string
	Test    string
}

// edit replaces Old, which the file must hold exactly once, by New.
type edit struct {
	File string
	Old  string
	New  string
}

// apply makes the change and returns what undoes it.
func (e edit) apply(dir string) (undo func() error, err error) {
	path := filepath.Join(dir, e.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if strings.Count(string(original), e.Old) != 1 {
		return nil, fmt.Errorf("%s does not hold the text to replace exactly once: %q", e.File, e.Old)
	}
	changed := strings.Replace(string(original), e.Old, e.New, 1)
	undo = func() error { return os.WriteFile(path, original, 0o600) }
	return undo, os.WriteFile(path, []byte(changed), 0o600)
}

// try runs the test with and without the mechanism.
func (m mutation) try(ctx context.Context, dir string) (r result, err error) {
	defer func() { err = oops.Wrapf(err, "take out %s", m.What) }()
	if m.run(ctx, dir) != passed {
		return broken, nil
	}
	for _, e := range m.Edits {
		undo, err := e.apply(dir)
		if err != nil {
			return broken, err
		}
		defer func() { err = errors.Join(err, undo()) }()
	}
	if command(ctx, dir, "vet", m.Package).Run() != nil {
		return broken, nil
	}
	if m.run(ctx, dir) == failed {
		return found, nil
	}
	return missed, nil
}

// verdict says how a run of the test ended.
type verdict int

const (
	passed verdict = iota
	failed
	// notRun says that the package has no such test.
	notRun
)

func (m mutation) run(ctx context.Context, dir string) verdict {
	output, err := command(ctx, dir, "test", "-count=1", "-timeout=120s", "-run", "^"+m.Test+"$", m.Package).CombinedOutput()
	switch {
	case strings.Contains(string(output), "no tests to run"):
		return notRun
	case err != nil:
		return failed
	}
	return passed
}

func command(ctx context.Context, dir string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	return cmd
}
