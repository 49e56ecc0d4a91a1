// Package object reads and writes the platform's object store.
//
// # Usage
//
//	client := object.New("http://10.0.0.1:8000", httpClient)
//	data, err := client.Get(ctx, "Config/Snapshot/17")
//	if errors.Is(err, object.ErrNotFound) { ... }
//
// An error of Put leaves open whether the object was written; writing it again
// is always safe.
package object

import (
	"context"
	"errors"
)

// Errors that a Client's functions return, possibly wrapped.
var (
	// ErrNotFound says that there is no object of that name.
	ErrNotFound = errors.New("object: not found")
	// ErrUnavailable says that the service did not answer.
	ErrUnavailable = errors.New("object: service unavailable")
)

// Client gives access to the object store. All fields must be set.
type Client struct {
	// Get reads a whole object.
	Get func(ctx context.Context, name string) ([]byte, error)
	// Put writes a whole object, replacing what was there.
	Put func(ctx context.Context, name string, data []byte) error
}
