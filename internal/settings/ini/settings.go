// Package ini reads, checks and writes the settings file of a daemon.
//
// Every setting stands once in one table, Fields. The parser, the range
// checks, the commented example and docs/SETTINGS.md all come from it. A file
// is checked in full: Load returns all problems at once, each with file, line
// and what would be right.
//
// # Usage
//
//	settings, err := ini.Load("/etc/banyanshift.ini")
//	var problems ini.Problems
//	if errors.As(err, &problems) {
//		for _, problem := range problems { fmt.Fprintln(os.Stderr, problem) }
//	}
//
// A daemon that is about to listen uses LoadAndCheckAddresses, which also finds ports
// that are in use. Other files in INI form are read with Parse.
package ini

import "github.com/banyanshift/banyanshift/coord/clock"

// Settings is the whole configuration of one daemon process, one field for
// each section of the file.
type Settings struct {
	Daemon   Daemon
	Caller   Caller
	Operator Operator
	Peer     Peer
	Platform Platform
	Metrics  Metrics
	Log      Log
}

// Daemon tells the process who and where it is.
type Daemon struct {
	// ID is the VM's name, unique in the fleet.
	ID            string
	Region        string
	FailureDomain string
	// ReadinessDelay is how long after SIGTERM new requests are still
	// accepted, so that the balancer can take the daemon out.
	ReadinessDelay clock.Millis
	// UsageWindow is the length of the windows in which usage is billed.
	UsageWindow clock.Millis
	// Policy names the scheduling policy: Broker, LocalFair, LeastOutstanding
	// or RoundRobin. The last three are baselines.
	Policy string
}

// Caller configures the HTTP interface for callers.
type Caller struct {
	Listen         string
	Certificate    string
	CertificateKey string
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadTimeout bounds reading a whole request.
	ReadTimeout clock.Millis
	// WriteStallTimeout bounds how long one write to a slow reader may block.
	WriteStallTimeout clock.Millis
	IdleTimeout       clock.Millis
	MaxConnections    int
}

// Operator configures the gRPC interface for operators.
type Operator struct {
	Listen         string
	Certificate    string
	CertificateKey string
	// MaxMessageBytes bounds one message of a client.
	MaxMessageBytes int64
	// Tokens maps an operator's name to the hex SHA-256 digest of its token.
	Tokens map[string]string
}

// Peer configures the connections between daemons.
type Peer struct {
	Listen string
	// Advertise is the address that peers use; Listen when empty.
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
	// CallTimeout bounds one call of the platform.
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
