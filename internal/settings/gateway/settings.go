// Package gateway reads and checks the settings of a gateway: a daemon that
// stands in front of endpoints on a platform whose store others write.
//
// The file has the same form as that of package ini, with fields of its own. A
// field that is given without a value keeps its default, so that a template can
// leave out what the platform does not state.
//
// # Usage
//
//	settings, err := gateway.Load("/etc/banyanshift.ini")
package gateway

import (
	"fmt"
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Settings is the whole configuration of one gateway.
type Settings struct {
	Daemon    Daemon
	Caller    Caller
	Readiness Readiness
	Peer      Peer
	Platform  Platform
	Metrics   Metrics
	Bounds    Bounds
	Log       Log
}

// Daemon tells the process who and where it is.
type Daemon struct {
	ID            string
	FailureDomain string
	// MemoryLimit is what the process may use.
	MemoryLimit int64
	// Grace is the time from SIGTERM until the process is killed.
	Grace clock.Millis
}

// Caller configures the interface for callers.
type Caller struct {
	Listen         string
	MaxHeaderBytes int
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Readiness configures the interface that a balancer asks.
type Readiness struct {
	Listen string
	// Path is what the balancer asks for.
	Path string
}

// Peer configures the connections between daemons, which are in plain text.
type Peer struct {
	Listen string
	// Seeds are host:port of other VMs, separated by commas. Their daemons
	// listen on the port of Listen.
	Seeds string
}

// Platform has the addresses of the platform's services.
type Platform struct {
	Store  string
	Duties string
}

// Metrics configures the expvar interface; it is off when Listen is empty.
type Metrics struct {
	Listen string
}

// Bounds are the figures that the users hold the system to.
type Bounds struct {
	// RetryRatio, RetryExtra and RetryWindow bound the retries of the fleet.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow clock.Millis
	// UsageWindow is the length of the windows in which usage is billed.
	UsageWindow clock.Millis
	// DrainTime is how long endpoints serve after they said that they are
	// leaving; 0 if that is not known.
	DrainTime clock.Millis
	// LeaseTime is the time in which two daemons must not act in turn.
	LeaseTime clock.Millis
}

// Log configures the log.
type Log struct {
	Level string
}

// field is a setting with its place.
type field struct {
	ini.Field
	target func(*Settings) any
}

const (
	mebibyte    = int64(1) << 20
	maxDuration = int64(clock.Hour)
)

var fields = []field{
	{ini.Field{Section: "Daemon", Name: "ID", Type: ini.Name, Required: true, Help: "Name of the VM, unique in the fleet."},
		func(s *Settings) any { return &s.Daemon.ID }},
	{ini.Field{Section: "Daemon", Name: "FailureDomain", Type: ini.Name, Required: true, Help: "Failure domain that the VM stands in."},
		func(s *Settings) any { return &s.Daemon.FailureDomain }},
	{ini.Field{Section: "Daemon", Name: "MemoryLimit", Type: ini.Size, Default: "128MiB", Min: 32 * mebibyte, Max: 1 << 40, Help: "Memory that the process may use."},
		func(s *Settings) any { return &s.Daemon.MemoryLimit }},
	{ini.Field{Section: "Daemon", Name: "Grace", Type: ini.Duration, Default: "8s", Min: 1000, Max: maxDuration, Help: "Time from SIGTERM until the process is killed."},
		func(s *Settings) any { return &s.Daemon.Grace }},
	{ini.Field{Section: "Caller", Name: "Listen", Type: ini.Address, Required: true, Help: "Address for callers."},
		func(s *Settings) any { return &s.Caller.Listen }},
	{ini.Field{Section: "Caller", Name: "MaxHeaderBytes", Type: ini.Size, Default: "64KiB", Min: 4096, Max: mebibyte, Help: "Greatest head of a request, whatever the configuration allows."},
		func(s *Settings) any { return &s.Caller.MaxHeaderBytes }},
	{ini.Field{Section: "Caller", Name: "HeaderTimeout", Type: ini.Duration, Default: "5s", Min: 100, Max: maxDuration, Help: "Time within which the head of a request must have been read."},
		func(s *Settings) any { return &s.Caller.HeaderTimeout }},
	{ini.Field{Section: "Caller", Name: "IdleTimeout", Type: ini.Duration, Default: "1m", Min: 1000, Max: maxDuration, Help: "How long a connection without a request is kept."},
		func(s *Settings) any { return &s.Caller.IdleTimeout }},
	{ini.Field{Section: "Readiness", Name: "Listen", Type: ini.Address, Required: true, Help: "Address for the balancer's readiness check."},
		func(s *Settings) any { return &s.Readiness.Listen }},
	{ini.Field{Section: "Readiness", Name: "Path", Type: ini.Text, Default: "/ready", Help: "Path of the readiness check."},
		func(s *Settings) any { return &s.Readiness.Path }},
	{ini.Field{Section: "Peer", Name: "Listen", Type: ini.Address, Required: true, Help: "Address for the other daemons."},
		func(s *Settings) any { return &s.Peer.Listen }},
	{ini.Field{Section: "Peer", Name: "Seeds", Type: ini.Text, Help: "Addresses of some other VMs, separated by commas; the ports are passed over."},
		func(s *Settings) any { return &s.Peer.Seeds }},
	{ini.Field{Section: "Platform", Name: "Store", Type: ini.Address, Required: true, Help: "Address of the store."},
		func(s *Settings) any { return &s.Platform.Store }},
	{ini.Field{Section: "Platform", Name: "Duties", Type: ini.Address, Help: "Address for usage reports and orders; none are made when empty."},
		func(s *Settings) any { return &s.Platform.Duties }},
	{ini.Field{Section: "Metrics", Name: "Listen", Type: ini.Address, Help: "Address of the expvar interface. Off when empty."},
		func(s *Settings) any { return &s.Metrics.Listen }},
	{ini.Field{Section: "Bounds", Name: "RetryRatio", Type: ini.Fraction, Default: "0.2", Help: "Retries that each request to a back end pays for."},
		func(s *Settings) any { return &s.Bounds.RetryRatio }},
	{ini.Field{Section: "Bounds", Name: "RetryExtra", Type: ini.Fraction, Default: "20", Help: "Retries to each back end that the fleet has besides in each window."},
		func(s *Settings) any { return &s.Bounds.RetryExtra }},
	{ini.Field{Section: "Bounds", Name: "RetryWindow", Type: ini.Duration, Default: "10s", Min: 100, Max: maxDuration, Help: "Window in which retries are counted."},
		func(s *Settings) any { return &s.Bounds.RetryWindow }},
	{ini.Field{Section: "Bounds", Name: "UsageWindow", Type: ini.Duration, Default: "5s", Min: 100, Max: maxDuration, Help: "Length of the windows in which usage is billed."},
		func(s *Settings) any { return &s.Bounds.UsageWindow }},
	{ini.Field{Section: "Bounds", Name: "DrainTime", Type: ini.Duration, Default: "0s", Max: maxDuration, Help: "How long endpoints serve after they said that they are leaving; they get no new requests then when it is 0."},
		func(s *Settings) any { return &s.Bounds.DrainTime }},
	{ini.Field{Section: "Bounds", Name: "LeaseTime", Type: ini.Duration, Default: "3s", Min: 500, Max: maxDuration, Help: "Time in which two daemons must not act in turn."},
		func(s *Settings) any { return &s.Bounds.LeaseTime }},
	{ini.Field{Section: "Log", Name: "Level", Type: ini.Choice, Default: "info", Choices: []string{"debug", "info", "warning", "error"}, Help: "Least level that is logged."},
		func(s *Settings) any { return &s.Log.Level }},
}

// Load reads and checks a settings file. The error is an ini.Problems that
// lists everything that is wrong.
func Load(path string) (Settings, error) {
	doc, err := ini.ReadDocument(path)
	if err != nil {
		return Settings{}, err
	}
	return decode(doc)
}

// decode fills settings from a document.
func decode(doc ini.Document) (settings Settings, err error) {
	var problems ini.Problems
	given := make(map[string]bool)
	for _, section := range doc.Sections {
		for _, entry := range section.Entries {
			problem := assign(&settings, section.Name, entry, given)
			if problem != "" {
				problems = append(problems, ini.Problem{Path: doc.Path, Line: entry.Line, Message: problem})
			}
		}
	}
	for _, f := range fields {
		if given[f.Section+"."+f.Name] {
			continue
		}
		if f.Required {
			problems = append(problems, ini.Problem{Path: doc.Path, Message: f.Section + "." + f.Name + " is missing"})
			continue
		}
		if f.Default == "" {
			continue
		}
		if err := f.Assign(f.target(&settings), f.Default); err != nil {
			panic(fmt.Sprintf("gateway: default of %s.%s %v", f.Section, f.Name, err))
		}
	}
	if len(problems) > 0 {
		return settings, problems
	}
	return settings, nil
}

// assign sets the field of an entry and returns what is wrong with it.
func assign(settings *Settings, section string, entry ini.Entry, given map[string]bool) string {
	for _, f := range fields {
		if f.Section != section || f.Name != entry.Name {
			continue
		}
		if strings.TrimSpace(entry.Value) == "" {
			return ""
		}
		given[section+"."+entry.Name] = true
		if err := f.Assign(f.target(settings), entry.Value); err != nil {
			return fmt.Sprintf("%s.%s is %q: %v", section, entry.Name, entry.Value, err)
		}
		return ""
	}
	return fmt.Sprintf("there is no setting %s.%s", section, entry.Name)
}
