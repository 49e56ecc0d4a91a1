// Package object reads and writes the platform's object store.
//
// # Usage
//
//	client := object.New("http://10.0.0.1:8000", httpClient)
//	data, err := client.Get(ctx, "Config/Snapshot/17")
//	if errors.Is(err, object.ErrNotFound) { ... }
//
// If Put returns an error, the object may or may not have been written. Put is
// idempotent, so it is always safe to retry.
package object

import (
	"context"
	"errors"
)

// Errors that a Client's functions return, possibly wrapped.
var (
	// ErrNotFound means that no object has that name.
	ErrNotFound = errors.New("object: not found")
	// ErrUnavailable means that the service did not return a successful response.
	ErrUnavailable = errors.New("object: service unavailable")
)

// Client gives access to the object store. All fields are required.
type Client struct {
	// Get reads a whole object.
	Get func(ctx context.Context, name string) ([]byte, error)
	// Put writes a whole object, replacing any object of that name.
	Put func(ctx context.Context, name string, data []byte) error
}
