// Package ini reads, checks and writes the settings file of a daemon.
//
// Fields describes every setting once. The decoder, the range checks, the example
// file and docs/SETTINGS.md are all derived from it. Load checks the whole file and
// returns all problems at once, each with the file, the line and what is expected.
//
// # Usage
//
//	settings, err := ini.Load("/etc/banyanshift.ini")
//	var problems ini.Problems
//	if errors.As(err, &problems) {
//		for _, problem := range problems { fmt.Fprintln(os.Stderr, problem) }
//	}
//
// A daemon that is about to listen uses LoadAndCheckAddresses, which also finds
// ports that are in use. Parse reads other INI files.
package ini

import "github.com/banyanshift/banyanshift/coord/clock"

// Settings holds all settings of one daemon process, one field for each section
// of the file.
type Settings struct {
	Daemon   Daemon
	Caller   Caller
	Operator Operator
	Peer     Peer
	Platform Platform
	Metrics  Metrics
	Log      Log
}

// Daemon identifies the process and its location.
type Daemon struct {
	// ID is the VM's name, unique in the fleet.
	ID            string
	Region        string
	FailureDomain string
	// ReadinessDelay is how long new requests are still accepted after SIGTERM,
	// so that the load balancer can remove the daemon.
	ReadinessDelay clock.Millis
	// UsageWindow is the length of the windows in which usage is billed.
	UsageWindow clock.Millis
	// Policy is the scheduling policy: Broker, LocalFair, LeastOutstanding or
	// RoundRobin. The last three are baselines for comparison.
	Policy string
	// MemoryLimit is the number of bytes that the process may use, 0 for half of the machine's
	// memory.
	MemoryLimit int64
	// MaxDescriptors is the number of file descriptors that the process may use, 0 for the limit
	// that the system sets.
	MaxDescriptors int
}

// Caller configures the HTTP interface for callers.
type Caller struct {
	Listen         string
	Certificate    string
	CertificateKey string
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout is the time limit for reading a whole request.
	ReadTimeout clock.Millis
	// WriteStallTimeout is how long one write to a slow reader may block.
	WriteStallTimeout clock.Millis
	IdleTimeout       clock.Millis
	MaxConnections    int
}

// Operator configures the gRPC interface for operators.
type Operator struct {
	Listen         string
	Certificate    string
	CertificateKey string
	// MaxMessageBytes is the maximum size of one message from a client.
	MaxMessageBytes int64
	// Tokens maps an operator's name to the hex SHA-256 digest of its token.
	Tokens map[string]string
}

// Peer configures the connections between daemons.
type Peer struct {
	Listen string
	// Advertise is the address that peers connect to, or empty to use Listen.
	Advertise            string
	CertificateAuthority string
	Certificate          string
	CertificateKey       string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	TableURL  string
	ObjectURL string
	VMListURL string
	OrderURL  string
	UsageURL  string
	// CallTimeout is the time limit of one call to the platform.
	CallTimeout clock.Millis
}

// Metrics configures the expvar interface; it is off when Listen is empty.
type Metrics struct {
	Listen string
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warning or error.
	Level string
	// Format is text or json.
	Format string
}
