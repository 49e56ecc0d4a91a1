// Package status implements the commands "banyanshift status" and "banyanshift
// fleet status".
//
// # Usage
//
//	cmd := status.NewCmdStatus(f, nil)
package status

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Format output.Format
}

// NewCmdStatus creates the banyanshift status command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdStatus(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of the fleet",
		Long: `Show the fleet as seen by the daemon that answers: the daemons and the configuration
sequence that each uses, the endpoints of each back end, the latency attainment of
each class, and the lease holder that sends the orders of each region.

In a pipe, each row starts with the name of its table.`,
		Example: `  $ banyanshift status
  $ banyanshift status --json=Daemons,Leases`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return statusRun(cmd.Context(), opts)
		},
	}
	opts.Format.AddFlag(cmd, &operatorv1.FleetStatus{})
	return cmd
}

func statusRun(ctx context.Context, opts *Options) (err error) {
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	fleet, err := c.Fleet.Status(ctx, &operatorv1.FleetStatusRequest{})
	if err != nil {
		return err
	}
	if opts.Format.JSON {
		return output.View(opts.IO, &opts.Format, fleet)
	}
	return printSections(opts.IO, fleet)
}

// section is one table of the status output.
type section struct {
	name    string
	columns []string
	rows    [][]string
}

func printSections(io *streams.Streams, fleet *operatorv1.FleetStatus) error {
	for i, s := range sections(fleet) {
		if !io.OutIsTerminal {
			for j := range s.rows {
				s.rows[j] = append([]string{s.name}, s.rows[j]...)
			}
		} else if i > 0 {
			if _, err := fmt.Fprintln(io.Out); err != nil {
				return err
			}
		}
		if err := output.Table(io, s.columns, s.rows); err != nil {
			return err
		}
	}
	return nil
}

func sections(fleet *operatorv1.FleetStatus) []section {
	all := []section{{
		name:    "Fleet",
		columns: []string{"AnsweredBy", "Configuration", "Store", "PendingChanges"},
		rows: [][]string{{
			fleet.GetAnsweredBy(),
			strconv.FormatUint(fleet.GetConfigSequence(), 10),
			storeText(fleet.GetStoreReachable()),
			strconv.Itoa(int(fleet.GetPendingChanges())),
		}},
	}}
	daemons := section{name: "Daemon", columns: []string{"ID", "Address", "Region", "FailureDomain", "State", "ConfigSequence"}}
	for _, daemon := range fleet.GetDaemons() {
		daemons.add(daemon)
	}
	backends := section{name: "Backend", columns: []string{"Name", "Firm", "Cheap", "Leaving", "MilliPricePerHour"}}
	for _, backend := range fleet.GetBackends() {
		backends.add(backend)
	}
	leases := section{name: "Lease", columns: []string{"Scope", "Holder", "Fence"}}
	for _, lease := range fleet.GetLeases() {
		leases.add(lease)
	}
	return append(all, daemons, backends, classSection(fleet), leases)
}

// classSection returns the table of classes, with the attainment as an extra
// column.
func classSection(fleet *operatorv1.FleetStatus) section {
	columns := []string{"Name", "Tier", "FirstTokens", "InTime"}
	s := section{name: "Class", columns: columns}
	for _, class := range fleet.GetClasses() {
		s.add(class)
		last := len(s.rows) - 1
		s.rows[last] = append(s.rows[last], attainment(class))
	}
	s.columns = append(s.columns, "Attainment")
	return s
}

func (s *section) add(message proto.Message) {
	row := make([]string, len(s.columns))
	for i, column := range s.columns {
		row[i] = field.Text(message, column)
	}
	s.rows = append(s.rows, row)
}

// attainment returns the percentage of first tokens that arrived within the
// target.
func attainment(class *operatorv1.ClassStatus) string {
	if class.GetFirstTokens() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(class.GetInTime())/float64(class.GetFirstTokens()))
}

func storeText(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "unreachable"
}
