package relay

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// Streams remembers which software versions began streams. All fields must be set.
type Streams struct {
	// Record is called when the first event of a request's stream arrives.
	Record func(start StreamStart)
	// Check reports what is known of a start whose connection was still open at a time.
	Check func(start StreamStart, openUntil clock.Millis) StartCheck
	// Prove records that the endpoint has said that the start is right.
	Prove func(start StreamStart)
	// Doubt records that the software version of a start is not known after all.
	Doubt func(start StreamStart)
	// Find looks up which software version began the stream of a request.
	Find func(ctx context.Context, requestID, backend string) Origin
}

// StreamStart is the start of a request's stream at an endpoint.
type StreamStart struct {
	RequestID string
	Backend   string
	Endpoint  string
	// Incarnation and SoftwareVersion are those of the endpoint as far as was known.
	Incarnation     int64
	SoftwareVersion string
	// OpenedAt is when the connection that carries the stream was opened.
	OpenedAt clock.Millis
}

// StartCheck is what is known of the incarnation of the endpoint that began a stream.
type StartCheck int

// The results of a check.
const (
	// StartUnproved: the endpoint may have started again shortly before, unknown to this daemon.
	StartUnproved StartCheck = iota
	// StartProved: it was the known one.
	StartProved
	// StartRefuted: it may have been another one.
	StartRefuted
)

// Origin is what is known of the software version that began a stream.
type Origin struct {
	// Known is set if Software is the version. Otherwise it may have been any of several.
	Known    bool
	Software balance.SoftwareLimit
	// Source says who knew it.
	Source string
	// Versions lists the software versions of the back end at which the stream may have
	// begun. AllVersions is set if there can be no others, and WatchedFor is how long this
	// daemon has seen them all by itself.
	Versions    []string
	AllVersions bool
	WatchedFor  clock.Millis
}
