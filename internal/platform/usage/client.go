package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/internal/platform/rest"
)

// Errors that a Client's functions return, possibly wrapped.
var (
	// ErrConflict means that the same window was already reported with
	// different content.
	ErrConflict = errors.New("usage: window was reported with other figures")
	// ErrUnavailable means that the service did not accept the report.
	ErrUnavailable = errors.New("usage: service unavailable")
	// ErrUnknown means that the outcome is unknown: the report may have been
	// accepted.
	ErrUnknown = errors.New("usage: outcome unknown")
)

// The headers that identify the sender of a report, who may not be the reporter that
// sealed the window.
const (
	HeaderSender      = "Sender"
	HeaderSenderFence = "Sender-Fence"
)

// Client reports usage to the platform's billing. All fields are required.
type Client struct {
	// Report sends one sealed window.
	Report func(ctx context.Context, window Window) error
}

type sender struct {
	holder string
	fence  uint64
}

type senderKey struct{}

// WithSender returns a context for sending reports with the ID of the sending
// daemon and the fencing number of its lease. They differ from those in the window
// when a successor sends the report again.
func WithSender(ctx context.Context, holder string, fence uint64) context.Context {
	return context.WithValue(ctx, senderKey{}, sender{holder: holder, fence: fence})
}

type service struct {
	rest *rest.Client
}

// New returns a client of the service at baseURL.
func New(baseURL string, httpClient *http.Client) Client {
	s := &service{rest: rest.New(baseURL, httpClient)}
	return Client{Report: s.report}
}

func (s *service) report(ctx context.Context, window Window) (err error) {
	defer func() { err = oops.Wrapf(err, "report window %s/%d", window.Scope, window.Number) }()
	body, err := json.Marshal(window)
	if err != nil {
		return err
	}
	header := http.Header{}
	if sentBy, ok := ctx.Value(senderKey{}).(sender); ok {
		header.Set(HeaderSender, sentBy.holder)
		header.Set(HeaderSenderFence, strconv.FormatUint(sentBy.fence, 10))
	}
	_, err = s.rest.CallRaw(ctx, http.MethodPost, "/usage/windows", body, header)
	return reportError(err)
}

// reportError wraps the error of a call in the matching error of this package.
func reportError(err error) error {
	if err == nil {
		return nil
	}
	var failure *rest.RequestError
	if !errors.As(err, &failure) {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch {
	case failure.Status == http.StatusConflict:
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case failure.NotExecuted():
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
}
