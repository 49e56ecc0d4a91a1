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
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
)

// maxEventBytes is the longest line that an engine may send in a stream.
const maxEventBytes = 256 << 10

// maxRefusalBodyBytes bounds how much of an error response's body is read.
const maxRefusalBodyBytes = 4 << 10

// Call is one attempt to run a request on an engine.
type Call struct {
	RequestID string
	// Path is the engine's path, such as "/v1/chat/completions".
	Path string
	// Body is the caller's JSON object.
	Body map[string]json.RawMessage
	// Priority is sent to the engine, which runs lower values first.
	Priority int
	// ResumeToken is the index of the first token to generate, and ResumeText
	// the text generated so far.
	ResumeToken int
	ResumeText  string
}

// StreamError describes why an engine did not send a complete answer.
type StreamError struct {
	Endpoint string
	// NotRun reports whether the request certainly did not run on the engine.
	NotRun bool
	// Status is the engine's HTTP status, or 0 if there was none.
	Status int
	// Rejected reports whether the engine refused the request as invalid.
	// Message is then meant for the caller.
	Rejected bool
	Message  string
	Err      error
}

// Error implements error.
func (e *StreamError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine %s returned status %d: %s", e.Endpoint, e.Status, e.Message)
	}
	return fmt.Sprintf("engine %s: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Err }

// Client calls engines.
type Client struct {
	http *http.Client
	// memory may be nil.
	memory *memory.Budget
}

// New returns a Client that sends its calls with clients.Retryable.
func New(clients transport.Clients) *Client {
	return &Client{http: clients.Retryable, memory: clients.Memory}
}

// Stream is an engine's answer in progress.
type Stream struct {
	endpoint        string
	body            io.ReadCloser
	reader          *bufio.Reader
	validator       validator
	hasFinishReason bool
	// longLine holds a line that is longer than the buffer of reader.
	longLine longLine
}

// Start sends a call and returns its stream once the engine has accepted it.
// The error is a *StreamError, or the cause of the context's cancellation.
func (c *Client) Start(ctx context.Context, endpoint entity.Endpoint, call Call) (*Stream, error) {
	traced, origin := transport.TraceOrigin(ctx)
	req, err := newRequest(traced, endpoint, call)
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
	if transport.IsOfAnother(resp.Header, call.RequestID) {
		_ = resp.Body.Close()
		return nil, &StreamError{Endpoint: endpoint.ID, Err: fmt.Errorf("%w: header Request-Id is %q", ErrWrongRequest, resp.Header.Get("Request-Id"))}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusalError(endpoint, resp, origin.Proves(resp.Header, call.RequestID))
	}
	return &Stream{
		endpoint:  endpoint.ID,
		longLine:  longLine{ctx: ctx, budget: c.memory},
		body:      resp.Body,
		reader:    bufio.NewReaderSize(resp.Body, 8<<10),
		validator: validator{requestID: call.RequestID, nextToken: call.ResumeToken, resumed: call.ResumeToken > 0},
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

// callBody returns the caller's body with the fields set that request
// streaming, token usage and, if the call resumes, the position to resume at.
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

// refusalError returns the error for an answer without a stream. A statement that the request
// did not run counts only if the answer is proved to belong to it.
func refusalError(endpoint entity.Endpoint, resp *http.Response, proved bool) *StreamError {
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBodyBytes))
	status := resp.StatusCode
	return &StreamError{
		Endpoint: endpoint.ID,
		NotRun:   proved && (resp.Header.Get("Run") == "Not" || status == http.StatusBadRequest),
		Status:   status,
		Rejected: status == http.StatusBadRequest || status == http.StatusUnprocessableEntity,
		Message:  refusalMessage(body),
	}
}

// refusalMessage returns the message of an error response, or the whole body
// if it has no message field.
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

// Next returns the next chunk. A chunk with Done set completes the stream. A
// chunk's Data is valid until the next call. Errors are of type *StreamError.
func (s *Stream) Next() (Chunk, error) {
	for {
		data, err := s.readEvent()
		if err != nil {
			return Chunk{}, s.streamError(err)
		}
		chunk, err := s.validator.validate(data)
		if errors.Is(err, errDuplicate) {
			duplicateChunks.Add(1)
			continue
		}
		if err != nil {
			return Chunk{}, s.streamError(err)
		}
		if chunk.FinishReason != "" {
			s.hasFinishReason = true
		}
		if chunk.Done && !s.hasFinishReason {
			return Chunk{}, s.streamError(ErrTruncated)
		}
		return chunk, nil
	}
}

// NextToken returns the index of the next token that the stream expects.
func (s *Stream) NextToken() int { return s.validator.nextToken }

// Close closes the stream. An engine cancels a request when its connection is
// closed.
func (s *Stream) Close() {
	s.longLine.release()
	_ = s.body.Close()
}

func (s *Stream) streamError(err error) error {
	return &StreamError{Endpoint: s.endpoint, Status: http.StatusOK, Err: err}
}

var (
	eventPrefix = []byte("event:")
	dataPrefix  = []byte("data:")
)

// readEvent returns the data of the next event, or an error if the event is named as one.
func (s *Stream) readEvent() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if name, found := bytes.CutPrefix(line, eventPrefix); found && string(bytes.TrimSpace(name)) == "error" {
			return nil, errEngineError
		}
		if data, found := bytes.CutPrefix(line, dataPrefix); found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the next line without its line ending, which is valid until the next call. It copies
// a line only if it is longer than the read buffer.
func (s *Stream) readLine() ([]byte, error) {
	s.longLine.release()
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	switch {
	case errors.Is(err, ErrMalformed) || errors.Is(err, ErrNoMemory):
		return nil, err
	case errors.Is(err, io.EOF):
		return nil, ErrTruncated
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) readLongLine(start []byte) ([]byte, error) {
	for part := start; ; {
		if err := s.longLine.add(part); err != nil {
			return nil, err
		}
		var err error
		part, err = s.reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return s.longLine.data, errors.Join(s.longLine.add(part), err)
		}
	}
}
