// Package message defines the type numbers of the messages that daemons
// exchange. The packages that implement each protocol define the bodies.
package message

// Type identifies a kind of message on the wire. Numbers are never reused.
type Type uint16

// Message types, in a block of 16 numbers for each protocol.
const (
	// Membership.
	Probe         Type = 0x10
	IndirectProbe Type = 0x11
	Leave         Type = 0x12
	// Configuration.
	ConfigHead     Type = 0x20
	ConfigDeltas   Type = 0x21
	ConfigSnapshot Type = 0x22
	ConfigDeny     Type = 0x23
	ConfigPropose  Type = 0x24
	// Scheduling.
	BrokerEvents  Type = 0x30
	BrokerActions Type = 0x31
	BrokerRelease Type = 0x32
	BrokerCancel  Type = 0x33
	BrokerState   Type = 0x34
	// Usage.
	UsageReplicate Type = 0x40
	UsageAck       Type = 0x41
	// Endpoints.
	EndpointUpdate Type = 0x50
	EndpointList   Type = 0x51
	// Claims.
	ClaimLookup  Type = 0x60
	ClaimForward Type = 0x61
	// Capacity.
	DemandReport Type = 0x70
	// Fleet-wide view.
	// 0x80 and 0x81 were pings and updates that each daemon sent to every other one.
	FleetDocument        Type = 0x82
	FleetEndpoints       Type = 0x83
	FleetUsage           Type = 0x84
	FleetContact         Type = 0x85
	FleetReports         Type = 0x86
	FleetEndpointChanges Type = 0x87
	FleetNews            Type = 0x88
	FleetStreams         Type = 0x89
	FleetStreamOrigin    Type = 0x8a
	FleetPermit          Type = 0x8b
	FleetPermitEnd       Type = 0x8c
	// Crashes of endpoints.
	CrashNews     Type = 0xa0
	CrashBook     Type = 0xa1
	CrashTrial    Type = 0xa2
	CrashTrialEnd Type = 0xa3
	// Requests that are forwarded to an endpoint for another daemon, on connections of
	// their own.
	ForwardOpen    Type = 0x90
	ForwardOpened  Type = 0x91
	ForwardRequest Type = 0x92
	ForwardBody    Type = 0x93
	ForwardAnswer  Type = 0x94
	ForwardEnd     Type = 0x95
)
