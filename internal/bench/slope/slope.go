// Package slope implements the slope command, which measures how the resource
// usage of daemons grows with the size of the fleet and its configuration. It
// runs real daemons with small stand-ins and fits straight lines to the
// measurements. docs/CAPACITY.md is calculated from these lines.
//
// # Usage
//
//	banyanbench slope --series daemons,teams --json
package slope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	// Settle is the pause before each measurement. Duration is the length of a
	// measurement.
	Settle   time.Duration
	Duration time.Duration
	Series   []string
	// MaxDaemons limits the number of daemons in the daemons series.
	MaxDaemons int
	JSON       bool
	// Plot is the file to write the points and lines to as SVG; no plot if empty.
	Plot string
}

// Quantity is one measured quantity of a series.
type Quantity struct {
	Name   string
	Points []Point
	Fit    Fit
}

// Series holds the measurements of several quantities at different values of one
// size.
type Series struct {
	// Name is the name of the experiment. Size describes the size that it varies.
	Name       string
	Size       string
	Quantities []*Quantity
}

func (s *Series) add(name string, x, y float64) {
	for _, q := range s.Quantities {
		if q.Name == name {
			q.Points = append(q.Points, Point{X: x, Y: y})
			return
		}
	}
	s.Quantities = append(s.Quantities, &Quantity{Name: name, Points: []Point{{X: x, Y: y}}})
}

// experiment measures one series.
type experiment struct {
	name    string
	size    string
	measure func(ctx context.Context, b *bench, s *Series) error
}

var experiments = []experiment{
	{"daemons", "daemons", measureDaemons},
	{"teams", "teams with one key each", measureTeams},
	{"endpoints", "endpoints", measureEndpoints},
	{"changes", "changes a second", measureChanges},
	{"streams", "streams that are open at one daemon", measureStreams},
}

func experimentNames() []string {
	list := make([]string, len(experiments))
	for i, e := range experiments {
		list[i] = e.name
	}
	return list
}

// NewCmdSlope returns the command. runF replaces its action in tests.
func NewCmdSlope(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "slope",
		Short: "Measure how the resource usage of daemons grows with size",
		Long: `Run fleets of several sizes on loopback, measure messages, processor time and
memory of the daemons and their calls to the table, and fit straight lines.`,
		Example: `  $ banyanbench slope --series daemons --max-daemons 32
  $ banyanbench slope --json --plot slopes.svg`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := opts.validate(); err != nil {
				return err
			}
			if runF != nil {
				return runF(opts)
			}
			return slopeRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.DurationVar(&opts.Settle, "settle", 8*time.Second, "Pause before each measurement")
	flags.DurationVar(&opts.Duration, "duration", 10*time.Second, "Length of each measurement")
	flags.StringSliceVar(&opts.Series, "series", experimentNames(), "Series to measure")
	flags.IntVar(&opts.MaxDaemons, "max-daemons", 32, "Number of daemons in the largest fleet")
	flags.BoolVar(&opts.JSON, "json", false, "Print the points and fits as one line of JSON")
	flags.StringVar(&opts.Plot, "plot", "", "Write the points and lines as SVG to `file`")
	return cmd
}

func (o *Options) validate() error {
	for _, name := range o.Series {
		if !slices.Contains(experimentNames(), name) {
			return fmt.Errorf("unknown series %q; choose from %s", name, strings.Join(experimentNames(), ", "))
		}
	}
	if o.MaxDaemons < 2 {
		return errors.New("--max-daemons must be at least 2")
	}
	return nil
}

// bench holds the options, executables and directory that experiments use.
type bench struct {
	*Options
	program    string
	executable string
	dir        string
}

func slopeRun(opts *Options) (err error) {
	ctx := opts.Factory.StopContext()
	dir, err := os.MkdirTemp("", "banyanshift-slope-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	b := &bench{Options: opts, dir: dir}
	if b.program, err = rig.Build(ctx, dir); err != nil {
		return err
	}
	if b.executable, err = opts.Factory.Executable(); err != nil {
		return err
	}
	var measured []*Series
	for _, e := range experiments {
		if !slices.Contains(opts.Series, e.name) {
			continue
		}
		s := &Series{Name: e.name, Size: e.size}
		if err := e.measure(ctx, b, s); err != nil {
			return oops.Wrapf(err, "series %s", e.name)
		}
		for _, q := range s.Quantities {
			q.Fit = fit(q.Points)
		}
		measured = append(measured, s)
	}
	return opts.show(measured)
}

func (o *Options) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Factory.ErrOut, format+"\n", args...)
}

func (o *Options) show(measured []*Series) error {
	if o.Plot != "" {
		if err := os.WriteFile(o.Plot, []byte(plot(measured)), 0o600); err != nil {
			return err
		}
	}
	if o.JSON {
		line, err := json.Marshal(measured)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(o.Factory.Out, "%s\n", line)
		return err
	}
	table := tabwriter.NewWriter(o.Factory.Out, 0, 0, 2, ' ', 0)
	for _, s := range measured {
		_, _ = fmt.Fprintf(table, "By %s\tat 0\teach adds\t±\tpoints\n", s.Size)
		for _, q := range s.Quantities {
			_, _ = fmt.Fprintf(table, "  %s\t%.4g\t%.4g\t%.2g\t%s\n", q.Name, q.Fit.Base, q.Fit.Slope, q.Fit.SlopeError, pointList(q.Points))
		}
	}
	return table.Flush()
}

func pointList(points []Point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%.4g:%.4g", p.X, p.Y)
	}
	return strings.Join(texts, " ")
}
