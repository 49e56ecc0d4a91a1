// Package gateway reads and checks the settings file of a gateway: a daemon that
// routes requests to endpoints on a platform whose store is written by others.
//
// The file has the syntax of package ini but its own fields. A field with an
// empty value keeps its default, so that a template can contain fields for which
// the platform provides no value.
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

// Settings holds all settings of one gateway, one field for each section of the
// file.
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

// Daemon identifies the process and sets its limits.
type Daemon struct {
	ID            string
	FailureDomain string
	// Capacity is the VM's share of a processor core. Daemons with more capacity do
	// more for the others.
	Capacity float64
	// MemoryLimit is the number of bytes that the process may use.
	MemoryLimit int64
	// MaxDescriptors is the number of file descriptors that the process may use, 0 for the limit
	// that the system sets.
	MaxDescriptors int
	// Grace is the time from SIGTERM until the process is killed.
	Grace clock.Millis
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
}

// Caller configures the interface for callers.
type Caller struct {
	Listen         string
	MaxHeaderBytes int
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Readiness configures the interface for a load balancer's readiness check.
type Readiness struct {
	Listen string
	// Path is the URL path of the readiness check.
	Path string
}

// Peer configures the connections between daemons, which do not use TLS.
type Peer struct {
	Listen string
	// Seeds is a comma-separated list of host:port of other VMs. The ports are
	// ignored, since all daemons listen on the port of Listen.
	Seeds string
	// Forward is the address at which requests of other daemons for endpoints that they
	// do not reach are taken. Daemons do not forward when it is empty.
	Forward string
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store  string
	Duties string
}

// Metrics configures the expvar interface; it is off when Listen is empty.
type Metrics struct {
	Listen string
}

// Bounds holds the limits that the users require the system to keep.
type Bounds struct {
	// RetryRatio, RetryExtra and RetryWindow limit the retries of the fleet: in
	// each window, RetryRatio for each request plus RetryExtra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow clock.Millis
	// UsageWindow is the length of the windows in which usage is billed.
	UsageWindow clock.Millis
	// DrainTime is how long endpoints serve after they announce that they are
	// leaving, or 0 if that is not known.
	DrainTime clock.Millis
	// LeaseTime is the least time until a daemon that acted under the lease acts
	// again after another daemon held the lease in between.
	LeaseTime clock.Millis
}

// Log configures the log.
type Log struct {
	Level string
}

// field describes a setting. target returns a pointer to its field in Settings.
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
	{ini.Field{Section: "Daemon", Name: "FailureDomain", Type: ini.Name, Required: true, Help: "Failure domain of the VM."},
		func(s *Settings) any { return &s.Daemon.FailureDomain }},
	{ini.Field{Section: "Daemon", Name: "Capacity", Type: ini.Fraction, Default: "1", Help: "Share of a processor core that the VM has. Daemons with more capacity pass on more for the others."},
		func(s *Settings) any { return &s.Daemon.Capacity }},
	{ini.Field{Section: "Daemon", Name: "MemoryLimit", Type: ini.Size, Default: "128MiB", Min: 32 * mebibyte, Max: 1 << 40, Help: "Memory limit of the process. How many connections of callers may be open, and what they may hold, follow from it."},
		func(s *Settings) any { return &s.Daemon.MemoryLimit }},
	{ini.Field{Section: "Daemon", Name: "MaxDescriptors", Type: ini.Count, Default: "0", Max: 1 << 30, Help: "Number of file descriptors that the process may use. Callers may take half of those that are not for files. At 0, the limit that the system sets."},
		func(s *Settings) any { return &s.Daemon.MaxDescriptors }},
	{ini.Field{Section: "Daemon", Name: "Grace", Type: ini.Duration, Default: "8s", Min: 1000, Max: maxDuration, Help: "Time from SIGTERM until the process is killed."},
		func(s *Settings) any { return &s.Daemon.Grace }},
	{ini.Field{Section: "Daemon", Name: "FirstStart", Type: ini.Switch, Default: "false", Help: "Whether the whole system starts for the first time, so that no earlier daemon served callers."},
		func(s *Settings) any { return &s.Daemon.FirstStart }},
	{ini.Field{Section: "Caller", Name: "Listen", Type: ini.Address, Required: true, Help: "Address for callers."},
		func(s *Settings) any { return &s.Caller.Listen }},
	{ini.Field{Section: "Caller", Name: "MaxHeaderBytes", Type: ini.Size, Default: "64KiB", Min: 4096, Max: mebibyte, Help: "Maximum size of a request's header. It applies even if the configuration allows more."},
		func(s *Settings) any { return &s.Caller.MaxHeaderBytes }},
	{ini.Field{Section: "Caller", Name: "HeaderTimeout", Type: ini.Duration, Default: "5s", Min: 100, Max: maxDuration, Help: "Time limit for reading a request's header."},
		func(s *Settings) any { return &s.Caller.HeaderTimeout }},
	{ini.Field{Section: "Caller", Name: "IdleTimeout", Type: ini.Duration, Default: "1m", Min: 1000, Max: maxDuration, Help: "How long an idle connection stays open."},
		func(s *Settings) any { return &s.Caller.IdleTimeout }},
	{ini.Field{Section: "Readiness", Name: "Listen", Type: ini.Address, Required: true, Help: "Address for the load balancer's readiness check."},
		func(s *Settings) any { return &s.Readiness.Listen }},
	{ini.Field{Section: "Readiness", Name: "Path", Type: ini.Text, Default: "/ready", Help: "Path of the readiness check."},
		func(s *Settings) any { return &s.Readiness.Path }},
	{ini.Field{Section: "Peer", Name: "Listen", Type: ini.Address, Required: true, Help: "Address for the other daemons."},
		func(s *Settings) any { return &s.Peer.Listen }},
	{ini.Field{Section: "Peer", Name: "Seeds", Type: ini.Text, Help: "Comma-separated addresses of some other VMs. The ports are ignored."},
		func(s *Settings) any { return &s.Peer.Seeds }},
	{ini.Field{Section: "Peer", Name: "Forward", Type: ini.Address, Help: "Address for requests of other daemons to endpoints that they do not reach. All daemons use the same port. They do not help each other when empty."},
		func(s *Settings) any { return &s.Peer.Forward }},
	{ini.Field{Section: "Platform", Name: "Store", Type: ini.Address, Required: true, Help: "Address of the store."},
		func(s *Settings) any { return &s.Platform.Store }},
	{ini.Field{Section: "Platform", Name: "Duties", Type: ini.Address, Help: "Address for usage reports and orders. None are sent when empty."},
		func(s *Settings) any { return &s.Platform.Duties }},
	{ini.Field{Section: "Metrics", Name: "Listen", Type: ini.Address, Help: "Address of the expvar interface. Off when empty."},
		func(s *Settings) any { return &s.Metrics.Listen }},
	{ini.Field{Section: "Bounds", Name: "RetryRatio", Type: ini.Fraction, Default: "0.2", Help: "Number of retries allowed for each request to a back end."},
		func(s *Settings) any { return &s.Bounds.RetryRatio }},
	{ini.Field{Section: "Bounds", Name: "RetryExtra", Type: ini.Fraction, Default: "20", Help: "Number of retries to each back end that the whole fleet may make in each window in addition to RetryRatio."},
		func(s *Settings) any { return &s.Bounds.RetryExtra }},
	{ini.Field{Section: "Bounds", Name: "RetryWindow", Type: ini.Duration, Default: "10s", Min: 100, Max: maxDuration, Help: "Length of the window in which retries are counted."},
		func(s *Settings) any { return &s.Bounds.RetryWindow }},
	{ini.Field{Section: "Bounds", Name: "UsageWindow", Type: ini.Duration, Default: "5s", Min: 100, Max: maxDuration, Help: "Length of the windows in which usage is billed."},
		func(s *Settings) any { return &s.Bounds.UsageWindow }},
	{ini.Field{Section: "Bounds", Name: "DrainTime", Type: ini.Duration, Default: "0s", Max: maxDuration, Help: "How long endpoints serve after they announce that they are leaving. When 0, they get no new requests after the announcement."},
		func(s *Settings) any { return &s.Bounds.DrainTime }},
	{ini.Field{Section: "Bounds", Name: "LeaseTime", Type: ini.Duration, Default: "3s", Min: 500, Max: maxDuration, Help: "Least time until a daemon that acted under the lease acts again after another daemon held the lease in between."},
		func(s *Settings) any { return &s.Bounds.LeaseTime }},
	{ini.Field{Section: "Log", Name: "Level", Type: ini.Choice, Default: "info", Choices: []string{"debug", "info", "warning", "error"}, Help: "Lowest level that is logged."},
		func(s *Settings) any { return &s.Log.Level }},
}

// Load reads and checks a settings file. The error is an ini.Problems that
// lists all problems.
func Load(path string) (Settings, error) {
	doc, err := ini.ReadDocument(path)
	if err != nil {
		return Settings{}, err
	}
	return decode(doc)
}

// decode converts a document to settings and fills in the defaults.
func decode(doc ini.Document) (settings Settings, err error) {
	var problems ini.Problems
	hasValue := make(map[string]bool)
	for _, section := range doc.Sections {
		for _, entry := range section.Entries {
			problem := assign(&settings, section.Name, entry, hasValue)
			if problem != "" {
				problems = append(problems, ini.Problem{Path: doc.Path, Line: entry.Line, Message: problem})
			}
		}
	}
	for _, f := range fields {
		if hasValue[f.Section+"."+f.Name] {
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
			panic(fmt.Sprintf("gateway: default of %s.%s is invalid: %v", f.Section, f.Name, err))
		}
	}
	if len(problems) > 0 {
		return settings, problems
	}
	return settings, nil
}

// assign sets the field of an entry and adds it to hasValue, unless the value is
// empty. It returns a message if the entry is invalid, and "" otherwise.
func assign(settings *Settings, section string, entry ini.Entry, hasValue map[string]bool) string {
	for _, f := range fields {
		if f.Section != section || f.Name != entry.Name {
			continue
		}
		if strings.TrimSpace(entry.Value) == "" {
			return ""
		}
		hasValue[section+"."+entry.Name] = true
		if err := f.Assign(f.target(settings), entry.Value); err != nil {
			return fmt.Sprintf("%s.%s is %q: %v", section, entry.Name, entry.Value, err)
		}
		return ""
	}
	return fmt.Sprintf("there is no setting %s.%s", section, entry.Name)
}
