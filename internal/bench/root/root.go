// Package root implements the root command of banyanbench.
//
// # Usage
//
//	os.Exit(root.Main(factory.New(), os.Args[1:]))
package root

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/bench/check"
	"github.com/banyanshift/banyanshift/internal/bench/compare"
	"github.com/banyanshift/banyanshift/internal/bench/demo"
	"github.com/banyanshift/banyanshift/internal/bench/engine"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/latency"
	"github.com/banyanshift/banyanshift/internal/bench/load"
	"github.com/banyanshift/banyanshift/internal/bench/mutate"
	"github.com/banyanshift/banyanshift/internal/bench/platform"
	"github.com/banyanshift/banyanshift/internal/bench/proxy"
	"github.com/banyanshift/banyanshift/internal/bench/service"
	"github.com/banyanshift/banyanshift/internal/bench/slope"
)

// Exit codes.
const (
	exitOK = 0
	// exitViolated means that a run completed and an invariant was violated.
	exitViolated = 1
	// exitFailed means that the run could not be completed.
	exitFailed = 2
)

// commands returns the subcommands, one from each package.
func commands(f *factory.Factory) []*cobra.Command {
	return []*cobra.Command{
		platform.NewCmdPlatform(f, nil),
		engine.NewCmdEngine(f, nil),
		service.NewCmdService(f, nil),
		proxy.NewCmdProxy(f, nil),
		load.NewCmdLoad(f, nil),
		demo.NewCmdDemo(f, nil),
		check.NewCmdCheck(f, nil),
		latency.NewCmdLatency(f, nil),
		compare.NewCmdCompare(f, nil),
		slope.NewCmdSlope(f, nil),
		mutate.NewCmdMutate(f, nil),
	}
}

// NewCmdRoot returns the root command.
func NewCmdRoot(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "banyanbench <command> [flags]",
		Short:         "Stand-ins, load and checks for banyanshift",
		Long:          "Run small stand-ins for the services around the router, send load through it,\nand check its invariants.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetOut(f.Out)
	cmd.SetErr(f.ErrOut)
	cmd.AddCommand(commands(f)...)
	return cmd
}

// Main runs the command line and returns the exit code.
func Main(f *factory.Factory, args []string) int {
	cmd := NewCmdRoot(f)
	cmd.SetArgs(args)
	err := cmd.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, factory.ErrInvariantViolated):
		_, _ = fmt.Fprintln(f.ErrOut, err)
		return exitViolated
	default:
		_, _ = fmt.Fprintln(f.ErrOut, err)
		return exitFailed
	}
}
