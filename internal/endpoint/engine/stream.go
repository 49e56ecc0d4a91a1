package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
)

// maxEventBytes is the longest line that an engine may send in a stream.
const maxEventBytes = 256 << 10

// refusalBodyBytes is how much of a refusal's body is read.
const refusalBodyBytes = 4 << 10

// Call is one run of a request at an engine.
type Call struct {
	RequestID string
	// Path is the engine's path, such as "/v1/chat/completions".
	Path string
	// Body is the caller's JSON object.
	Body map[string]json.RawMessage
	// Priority is passed on; smaller runs first.
	Priority int
	// ResumeToken is the index of the first token to produce, and ResumeText
	// the text produced so far.
	ResumeToken int
	ResumeText  string
}

// StreamError says why an engine did not give a whole answer.
type StreamError struct {
	Endpoint string
	// NotRun says that the request surely did not run there.
	NotRun bool
	// Status is the engine's HTTP status, 0 when there was none.
	Status int
	// Rejected says that the engine refused the request as malformed; the
	// Message is for the caller then.
	Rejected bool
	Message  string
	Err      error
}

// Error implements error.
func (e *StreamError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine %s answered status %d: %s", e.Endpoint, e.Status, e.Message)
	}
	return fmt.Sprintf("engine %s: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Err }

// Client calls engines.
type Client struct {
	http *http.Client
}

// New returns a Client that uses the clients for repeatable calls.
func New(clients transport.Clients) *Client {
	return &Client{http: clients.Retryable}
}

// Stream is an engine's answer in progress.
type Stream struct {
	endpoint string
	body     io.ReadCloser
	reader   *bufio.Reader
	checker  checker
	finished bool
}

// Start sends a call and returns its stream once the engine has accepted it.
// Errors are *StreamError or the context's.
func (c *Client) Start(ctx context.Context, endpoint entity.Endpoint, call Call) (*Stream, error) {
	req, err := newRequest(ctx, endpoint, call)
	if err != nil {
		return nil, &StreamError{Endpoint: endpoint.ID, NotRun: true, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, &StreamError{Endpoint: endpoint.ID, NotRun: transport.NothingSent(err), Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(endpoint, resp)
	}
	if got := resp.Header.Get("Request-Id"); got != "" && got != call.RequestID {
		_ = resp.Body.Close()
		return nil, &StreamError{Endpoint: endpoint.ID, Err: fmt.Errorf("%w: header Request-Id is %q", ErrWrongRequest, got)}
	}
	return &Stream{
		endpoint: endpoint.ID,
		body:     resp.Body,
		reader:   bufio.NewReaderSize(resp.Body, 8<<10),
		checker:  checker{requestID: call.RequestID, next: call.ResumeToken},
	}, nil
}

func newRequest(ctx context.Context, endpoint entity.Endpoint, call Call) (*http.Request, error) {
	body, err := callBody(call)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.Address+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("Request-Id", call.RequestID)
	req.Header.Set("Priority", strconv.Itoa(call.Priority))
	return req, nil
}

// callBody returns the caller's body with streaming, usage and the point of
// resumption set.
func callBody(call Call) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(call.Body)+4)
	for name, value := range call.Body {
		fields[name] = value
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	delete(fields, "resume_token")
	delete(fields, "resume_text")
	if call.ResumeToken > 0 {
		text, err := json.Marshal(call.ResumeText)
		if err != nil {
			return nil, err
		}
		fields["resume_token"] = json.RawMessage(strconv.Itoa(call.ResumeToken))
		fields["resume_text"] = text
	}
	return json.Marshal(fields)
}

func refusal(endpoint entity.Endpoint, resp *http.Response) *StreamError {
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, refusalBodyBytes))
	status := resp.StatusCode
	return &StreamError{
		Endpoint: endpoint.ID,
		NotRun:   resp.Header.Get("Run") == "Not" || status == http.StatusBadRequest,
		Status:   status,
		Rejected: status == http.StatusBadRequest || status == http.StatusUnprocessableEntity,
		Message:  refusalMessage(body),
	}
}

// refusalMessage takes the message out of an error body.
func refusalMessage(body []byte) string {
	var parsed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.Message != "" {
		return parsed.Error.Message
	}
	return string(bytes.ToValidUTF8(body, nil))
}

// Next returns the next chunk. After the chunk with Done set the stream is
// whole. The Data of a chunk is valid until the next call. Errors are
// *StreamError.
func (s *Stream) Next() (Chunk, error) {
	for {
		data, err := s.event()
		if err != nil {
			return Chunk{}, s.fail(err)
		}
		chunk, err := s.checker.check(data)
		if errors.Is(err, errDuplicate) {
			duplicateChunks.Add(1)
			continue
		}
		if err != nil {
			return Chunk{}, s.fail(err)
		}
		if chunk.FinishReason != "" {
			s.finished = true
		}
		if chunk.Done && !s.finished {
			return Chunk{}, s.fail(ErrTruncated)
		}
		return chunk, nil
	}
}

// NextToken returns the index of the next token.
func (s *Stream) NextToken() int { return s.checker.next }

// Close ends the stream. The engine cancels a request whose connection is
// closed.
func (s *Stream) Close() { _ = s.body.Close() }

func (s *Stream) fail(err error) error {
	return &StreamError{Endpoint: s.endpoint, Status: http.StatusOK, Err: err}
}

var dataPrefix = []byte("data:")

// event returns the data of the next event.
func (s *Stream) event() ([]byte, error) {
	for {
		line, err := s.line()
		if err != nil {
			return nil, err
		}
		if data, found := bytes.CutPrefix(line, dataPrefix); found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// line returns the next line without its end. Lines longer than the buffer
// are copied.
func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.longLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) longLine(start []byte) ([]byte, error) {
	whole := append([]byte(nil), start...)
	for {
		part, err := s.reader.ReadSlice('\n')
		whole = append(whole, part...)
		if len(whole) > maxEventBytes {
			return nil, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return whole, err
		}
	}
}
