// Package engine calls model engines: it starts and resumes streams, checks
// that every token belongs to the request and none is missing or repeated,
// cancels, and reads load reports and cache events.
//
// # Usage
//
//	client := engine.New(clients)
//	stream, err := client.Start(ctx, grant.Endpoint, engine.Call{RequestID: id, Path: path, Body: body})
//	defer stream.Close()
//	for {
//		chunk, err := stream.Next()
//		if err != nil { ... resume elsewhere at stream.Tokens() ... }
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
)

var duplicateChunks = metric.NewCounter("Endpoint.DuplicateChunks", "Chunks that an engine sent twice and that were skipped.")

// maxReportBytes bounds a load report or a batch of cache events.
const maxReportBytes = 1 << 20

// LoadReport is an engine's report of its load. It lags behind the truth.
type LoadReport struct {
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	// KVUsed and KVTotal count tokens in the KV cache.
	KVUsed  int
	KVTotal int
	// TokensPerSecond is the recent rate of a single stream's tokens.
	TokensPerSecond float64
	// Sequence grows with each report.
	Sequence uint64
	// Leaving says that the engine has been told that it is taken away.
	Leaving bool
}

// CacheEvent says that a prefix has entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64
	// Kind is "Add" or "Evict".
	Kind   string
	Digest uint64
}

// CacheEvents is a batch of events. Events between the last one read and
// First are lost.
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

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, endpoint entity.Endpoint, after uint64) (events CacheEvents, err error) {
	defer func() { err = oops.Wrapf(err, "read cache events of %s", endpoint.ID) }()
	return events, c.get(ctx, endpoint, "/cache-events?after="+strconv.FormatUint(after, 10), &events)
}

// Cancel tells the engine to end a request.
func (c *Client) Cancel(ctx context.Context, endpoint entity.Endpoint, requestID string) (err error) {
	defer func() { err = oops.Wrapf(err, "cancel at %s", endpoint.ID) }()
	body, err := json.Marshal(struct{ RequestId string }{requestID}) //nolint:revive // field of the engines' interface
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.Address+"/cancel", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return c.do(req, nil)
}

func (c *Client) get(ctx context.Context, endpoint entity.Endpoint, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+path, http.NoBody)
	if err != nil {
		return err
	}
	return c.do(req, into)
}

func (c *Client) do(req *http.Request, into any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}
