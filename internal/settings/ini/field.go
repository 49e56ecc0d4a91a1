package ini

import "github.com/banyanshift/banyanshift/coord/clock"

// Type is the type of a field's value. It determines the syntax of the value.
type Type string

// Types of values.
const (
	Text     Type = "text"
	Name     Type = "name"
	Choice   Type = "choice"
	Address  Type = "IP:port"
	URL      Type = "URL"
	File     Type = "file"
	Duration Type = "duration"
	Size     Type = "size"
	Count    Type = "number"
	Fraction Type = "fraction"
	Switch   Type = "true or false"
)

// Field describes one setting.
type Field struct {
	Section  string
	Name     string
	Type     Type
	Required bool
	// Default is the value that applies if the file does not set the field.
	Default string
	// Example is the value in the example file for a field without a default.
	Example string
	// Min and Max are the inclusive limits of a Duration in milliseconds, a
	// Size in bytes or a Count.
	Min, Max int64
	// Choices lists the allowed values of a Choice.
	Choices []string
	// Help describes the setting to operators.
	Help string
	// target returns a pointer to the field in Settings: a *string, *int, *int64
	// or *clock.Millis.
	target func(*Settings) any
}

// tokensSection is the section that has one entry for each operator instead of a
// fixed set of fields.
const tokensSection = "Operator.Tokens"

const (
	kibibyte = int64(1) << 10
	mebibyte = int64(1) << 20
	gibibyte = int64(1) << 30

	maxDuration = int64(24 * clock.Hour)
)

// sections lists the sections with their help, in the order of the example file.
var sections = []struct{ name, help string }{
	{"Daemon", "Identity and location of this process."},
	{"Caller", "The HTTP interface for callers."},
	{"Operator", "The gRPC interface for operators."},
	{tokensSection, "One operator per line: the operator's name and the hex SHA-256 digest of the token that the operator sends. Generate a token with 'openssl rand -hex 32' and its digest with 'printf %s TOKEN | sha256sum'."},
	{"Peer", "The connections between daemons. Certificates are required unless Listen is a loopback address."},
	{"Platform", "The services of the platform."},
	{"Metrics", "The expvar interface."},
	{"Log", "The log, written to standard error."},
}

// Fields returns the descriptions of all settings except the operators' tokens.
func Fields() []Field {
	var fields []Field
	fields = append(fields, daemonFields...)
	fields = append(fields, callerFields...)
	fields = append(fields, operatorFields...)
	fields = append(fields, peerFields...)
	fields = append(fields, platformFields...)
	return append(fields, metricsAndLogFields...)
}

var daemonFields = []Field{
	{Section: "Daemon", Name: "ID", Type: Name, Required: true, Example: "entry-1",
		Help:   "Name of the VM, unique in the fleet.",
		target: func(s *Settings) any { return &s.Daemon.ID }},
	{Section: "Daemon", Name: "Region", Type: Name, Required: true, Example: "sask-central",
		Help:   "Region of the VM.",
		target: func(s *Settings) any { return &s.Daemon.Region }},
	{Section: "Daemon", Name: "FailureDomain", Type: Name, Required: true, Example: "sask-central-a",
		Help:   "Failure domain of the VM.",
		target: func(s *Settings) any { return &s.Daemon.FailureDomain }},
	{Section: "Daemon", Name: "ReadinessDelay", Type: Duration, Default: "5s", Max: int64(5 * clock.Minute),
		Help:   "How long new requests are still accepted after SIGTERM, so that the load balancer can remove the daemon.",
		target: func(s *Settings) any { return &s.Daemon.ReadinessDelay }},
	{Section: "Daemon", Name: "UsageWindow", Type: Duration, Default: "1m", Min: int64(clock.Second), Max: int64(clock.Hour),
		Help:   "Length of the windows in which usage is billed. The same for all daemons of a region.",
		target: func(s *Settings) any { return &s.Daemon.UsageWindow }},
	{Section: "Daemon", Name: "Policy", Type: Choice, Default: "Broker",
		Choices: []string{"Broker", "LocalFair", "LeastOutstanding", "RoundRobin"},
		Help:    "Scheduling policy. All except Broker are baselines for comparison.",
		target:  func(s *Settings) any { return &s.Daemon.Policy }},
	{Section: "Daemon", Name: "MemoryLimit", Type: Size, Default: "0B", Max: 1 << 40,
		Help:   "Memory limit of the process. How many connections of callers may be open, and what they may hold, follow from it. At 0B, half of the machine's memory. Less than 32MiB counts as 32MiB.",
		target: func(s *Settings) any { return &s.Daemon.MemoryLimit }},
	{Section: "Daemon", Name: "MaxDescriptors", Type: Count, Default: "0", Max: 1 << 30,
		Help:   "Number of file descriptors that the process may use. Callers may take half of those that are not for files. At 0, the limit that the system sets.",
		target: func(s *Settings) any { return &s.Daemon.MaxDescriptors }},
}

var callerFields = []Field{
	{Section: "Caller", Name: "Listen", Type: Address, Default: "127.0.0.1:8080",
		Help:   "Address to listen on.",
		target: func(s *Settings) any { return &s.Caller.Listen }},
	{Section: "Caller", Name: "Certificate", Type: File, Example: "/etc/banyanshift/caller.crt",
		Help:   "PEM file with the certificate chain. Plain HTTP when empty, for use behind a load balancer that terminates TLS.",
		target: func(s *Settings) any { return &s.Caller.Certificate }},
	{Section: "Caller", Name: "CertificateKey", Type: File, Example: "/etc/banyanshift/caller.key",
		Help:   "PEM file with the certificate's private key.",
		target: func(s *Settings) any { return &s.Caller.CertificateKey }},
	{Section: "Caller", Name: "MaxBodyBytes", Type: Size, Default: "4MiB", Min: kibibyte, Max: gibibyte,
		Help:   "Maximum size of a request's body.",
		target: func(s *Settings) any { return &s.Caller.MaxBodyBytes }},
	{Section: "Caller", Name: "MaxHeaderBytes", Type: Size, Default: "64KiB", Min: 4 * kibibyte, Max: mebibyte,
		Help:   "Maximum size of a request's header.",
		target: func(s *Settings) any { return &s.Caller.MaxHeaderBytes }},
	{Section: "Caller", Name: "ReadTimeout", Type: Duration, Default: "30s", Min: int64(clock.Second), Max: int64(clock.Hour),
		Help:   "Time limit for reading a whole request.",
		target: func(s *Settings) any { return &s.Caller.ReadTimeout }},
	{Section: "Caller", Name: "WriteStallTimeout", Type: Duration, Default: "15s", Min: int64(clock.Second), Max: int64(clock.Hour),
		Help:   "How long one write to a slow reader may block before the response is abandoned.",
		target: func(s *Settings) any { return &s.Caller.WriteStallTimeout }},
	{Section: "Caller", Name: "IdleTimeout", Type: Duration, Default: "1m", Min: int64(clock.Second), Max: maxDuration,
		Help:   "How long an idle connection stays open.",
		target: func(s *Settings) any { return &s.Caller.IdleTimeout }},
	{Section: "Caller", Name: "MaxConnections", Type: Count, Default: "10000", Min: 1, Max: 1_000_000,
		Help:   "Maximum number of open connections. Fewer are open if Daemon.MemoryLimit or Daemon.MaxDescriptors allow no more.",
		target: func(s *Settings) any { return &s.Caller.MaxConnections }},
}

var operatorFields = []Field{
	{Section: "Operator", Name: "Listen", Type: Address, Default: "127.0.0.1:8081",
		Help:   "Address to listen on.",
		target: func(s *Settings) any { return &s.Operator.Listen }},
	{Section: "Operator", Name: "Certificate", Type: File, Example: "/etc/banyanshift/operator.crt",
		Help:   "PEM file with the certificate chain. Required unless Listen is a loopback address.",
		target: func(s *Settings) any { return &s.Operator.Certificate }},
	{Section: "Operator", Name: "CertificateKey", Type: File, Example: "/etc/banyanshift/operator.key",
		Help:   "PEM file with the certificate's private key.",
		target: func(s *Settings) any { return &s.Operator.CertificateKey }},
	{Section: "Operator", Name: "MaxMessageBytes", Type: Size, Default: "16MiB", Min: 64 * kibibyte, Max: gibibyte,
		Help:   "Maximum size of one message from a client.",
		target: func(s *Settings) any { return &s.Operator.MaxMessageBytes }},
}

var peerFields = []Field{
	{Section: "Peer", Name: "Listen", Type: Address, Default: "127.0.0.1:8082",
		Help:   "Address to listen on.",
		target: func(s *Settings) any { return &s.Peer.Listen }},
	{Section: "Peer", Name: "Advertise", Type: Address, Example: "10.0.0.11:8082",
		Help:   "Address that other daemons use to reach this one. Listen when empty.",
		target: func(s *Settings) any { return &s.Peer.Advertise }},
	{Section: "Peer", Name: "CertificateAuthority", Type: File, Example: "/etc/banyanshift/fleet-ca.crt",
		Help:   "PEM file with the certificate authority that signed the certificates of all daemons.",
		target: func(s *Settings) any { return &s.Peer.CertificateAuthority }},
	{Section: "Peer", Name: "Certificate", Type: File, Example: "/etc/banyanshift/peer.crt",
		Help:   "PEM file with this daemon's certificate chain.",
		target: func(s *Settings) any { return &s.Peer.Certificate }},
	{Section: "Peer", Name: "CertificateKey", Type: File, Example: "/etc/banyanshift/peer.key",
		Help:   "PEM file with the certificate's private key.",
		target: func(s *Settings) any { return &s.Peer.CertificateKey }},
}

var platformFields = []Field{
	{Section: "Platform", Name: "TableURL", Type: URL, Required: true, Example: "http://10.0.0.2:9000",
		Help:   "Base URL of the transactional table service.",
		target: func(s *Settings) any { return &s.Platform.TableURL }},
	{Section: "Platform", Name: "ObjectURL", Type: URL, Required: true, Example: "http://10.0.0.2:9000",
		Help:   "Base URL of the object store.",
		target: func(s *Settings) any { return &s.Platform.ObjectURL }},
	{Section: "Platform", Name: "VMListURL", Type: URL, Required: true, Example: "http://10.0.0.2:9000",
		Help:   "Base URL of the list of VMs.",
		target: func(s *Settings) any { return &s.Platform.VMListURL }},
	{Section: "Platform", Name: "OrderURL", Type: URL, Required: true, Example: "http://10.0.0.2:9000",
		Help:   "Base URL of the interface for endpoint orders.",
		target: func(s *Settings) any { return &s.Platform.OrderURL }},
	{Section: "Platform", Name: "UsageURL", Type: URL, Required: true, Example: "http://10.0.0.2:9000",
		Help:   "Base URL of the interface for usage reports.",
		target: func(s *Settings) any { return &s.Platform.UsageURL }},
	{Section: "Platform", Name: "CallTimeout", Type: Duration, Default: "2s", Min: 50, Max: int64(clock.Minute),
		Help:   "Time limit of one call to the platform.",
		target: func(s *Settings) any { return &s.Platform.CallTimeout }},
}

var metricsAndLogFields = []Field{
	{Section: "Metrics", Name: "Listen", Type: Address, Example: "127.0.0.1:8083",
		Help:   "Address of the expvar interface. Off when empty.",
		target: func(s *Settings) any { return &s.Metrics.Listen }},
	{Section: "Log", Name: "Level", Type: Choice, Default: "info",
		Choices: []string{"debug", "info", "warning", "error"},
		Help:    "Lowest level that is logged.",
		target:  func(s *Settings) any { return &s.Log.Level }},
	{Section: "Log", Name: "Format", Type: Choice, Default: "text", Choices: []string{"text", "json"},
		Help:   "Output format of the log.",
		target: func(s *Settings) any { return &s.Log.Format }},
}
