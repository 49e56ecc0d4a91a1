// Package root builds the banyanshift command tree and runs it.
//
// # Usage
//
//	os.Exit(root.Main(factory.New(serve.Run, platform.DecodeDocument), os.Args[1:]))
package root

import (
	"context"
	"fmt"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	configapply "github.com/banyanshift/banyanshift/internal/cmdconfig/apply"
	daemonserve "github.com/banyanshift/banyanshift/internal/cmddaemon/serve"
	fleetstatus "github.com/banyanshift/banyanshift/internal/cmdfleet/status"
	logexplain "github.com/banyanshift/banyanshift/internal/cmdlog/explain"
)

// IDs of the command groups shown in the help.
const (
	groupFleet         = "fleet"
	groupConfiguration = "configuration"
	groupRecords       = "records"
)

// NewCmdRoot creates the root command with all subcommands.
func NewCmdRoot(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "banyanshift <noun> <verb> [flags]",
		Short: "Route language-model traffic of many teams",
		Long: `Run and operate banyanshift, a router for language-model traffic of many teams.

Commands connect to any daemon of the fleet. They print tables on a terminal,
tab-separated rows in a pipe, and JSON with --json.`,
		Example: `  $ banyanshift serve --settings banyanshift.ini
  $ banyanshift apply -f fleet.ini --dry-run
  $ banyanshift key create --team everest
  $ banyanshift status`,
		Version:       version(),
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          unknownCommand,
		RunE:          showHelp,
	}
	cmd.SetOut(f.IO.Out)
	cmd.SetErr(f.IO.ErrOut)
	cmd.SetIn(f.IO.In)
	cmd.SetFlagErrorFunc(flagError)
	f.AddFlags(cmd.PersistentFlags())
	cmd.AddGroup(
		&cobra.Group{ID: groupFleet, Title: "Fleet:"},
		&cobra.Group{ID: groupConfiguration, Title: "Configuration:"},
		&cobra.Group{ID: groupRecords, Title: "Records:"},
	)
	addToGroup(cmd, groupFleet, daemonserve.NewCmdServe(f, nil), fleetstatus.NewCmdStatus(f, nil), newFleet(f), newBackend(f))
	addToGroup(cmd, groupConfiguration, newTeam(f), newKey(f), newClass(f), newRoute(f), newConfig(f), configapply.NewCmdApply(f, nil))
	addToGroup(cmd, groupRecords, newUsage(f), newAudit(f), logexplain.NewCmdExplain(f, nil))
	cmd.AddCommand(newExitCodes(), newDocs(f))
	return cmd
}

func addToGroup(cmd *cobra.Command, group string, children ...*cobra.Command) {
	for _, child := range children {
		child.GroupID = group
		cmd.AddCommand(child)
	}
}

// newExitCodes returns the help topic "exit-codes".
func newExitCodes() *cobra.Command {
	return &cobra.Command{Use: "exit-codes", Short: "Exit codes of all commands", Long: exit.Help}
}

// version returns the module version, the commit if the build recorded it, and
// the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return strings.TrimSpace(text + " " + info.GoVersion)
}

// unknownCommand rejects arguments of a command that only groups subcommands.
func unknownCommand(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	message := fmt.Sprintf("unknown command %q for %q", args[0], cmd.CommandPath())
	if suggestions := cmd.SuggestionsFor(args[0]); len(suggestions) > 0 {
		message += "; did you mean " + strings.Join(suggestions, " or ") + "?"
	}
	return exit.Usagef("%s\n\nSee %s --help", message, cmd.CommandPath())
}

func showHelp(cmd *cobra.Command, _ []string) error {
	return cmd.Help()
}

func flagError(cmd *cobra.Command, err error) error {
	return exit.Usagef("%v\n\nSee %s --help", err, cmd.CommandPath())
}

// Main runs the command line and returns the exit code. SIGINT and SIGTERM cancel
// the context of the running command.
func Main(f *factory.Factory, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd := NewCmdRoot(f)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		f.Warnf("%s", exit.Message(err))
	}
	return int(exit.CodeOf(err))
}
