// Package engine is the client for model engines. It starts, resumes and
// cancels token streams and reads load reports and cache events. It checks
// that every chunk of a stream belongs to the request and that no token is
// missing, and skips tokens that the engine repeats.
//
// # Usage
//
//	client := engine.New(clients)
//	stream, err := client.Start(ctx, grant.Endpoint, engine.Call{RequestID: id, Path: path, Body: body})
//	defer stream.Close()
//	for {
//		chunk, err := stream.Next()
//		if err != nil { ... resume on another endpoint at stream.Tokens() ... }
//		if chunk.Done { break }
//	}
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

var duplicateChunks = metric.NewCounter("Endpoint.DuplicateChunks", "Duplicate chunks from engines that were skipped.")

// maxReportBytes bounds the size of a response other than a stream, such as a
// load report or a batch of cache events.
const maxReportBytes = 1 << 20

// LoadReport is an engine's report of its load. It may be out of date when it
// arrives.
type LoadReport struct {
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	// KVUsed and KVTotal count tokens in the KV cache.
	KVUsed  int
	KVTotal int
	// TokensPerSecond is the recent token rate of a single stream.
	TokensPerSecond float64
	// Sequence increases with each report.
	Sequence uint64
	// Leaving reports whether the engine has been notified that it will
	// be reclaimed.
	Leaving bool
}

// CacheEvent reports that a prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64
	// Kind is "Add" or "Evict".
	Kind   string
	Digest uint64
}

// CacheEvents is a batch of events. If First does not follow the last event
// that was read, the events in between are lost.
type CacheEvents struct {
	Events []CacheEvent
	First  uint64
	Last   uint64
}

// Load reads the endpoint's load report.
func (c *Client) Load(ctx context.Context, endpoint entity.Endpoint) (load LoadReport, err error) {
	defer func() { err = oops.Wrapf(err, "read load of %s", endpoint.ID) }()
	return load, c.get(ctx, endpoint, "/load", &load)
}

// CacheEvents reads the cache events with sequence numbers greater than after.
func (c *Client) CacheEvents(ctx context.Context, endpoint entity.Endpoint, after uint64) (events CacheEvents, err error) {
	defer func() { err = oops.Wrapf(err, "read cache events of %s", endpoint.ID) }()
	return events, c.get(ctx, endpoint, "/cache-events?after="+strconv.FormatUint(after, 10), &events)
}

// Cancel asks the engine to stop running a request.
func (c *Client) Cancel(ctx context.Context, endpoint entity.Endpoint, requestID string) (err error) {
	defer func() { err = oops.Wrapf(err, "cancel request on %s", endpoint.ID) }()
	body, err := json.Marshal(struct{ RequestId string }{requestID}) //nolint:revive // field name of the engines' API
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.Address+"/cancel", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return c.do(req, nil)
}

func (c *Client) get(ctx context.Context, endpoint entity.Endpoint, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+path, http.NoBody)
	if err != nil {
		return err
	}
	return c.do(req, result)
}

func (c *Client) do(req *http.Request, result any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	if c.memory != nil {
		resp.Body = response.CountBody(req.Context(), resp.Body, c.memory)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}
