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
	// ErrConflict says that the same window was reported before with other
	// content.
	ErrConflict = errors.New("usage: window was reported with other figures")
	// ErrUnavailable says that the service did not take the report.
	ErrUnavailable = errors.New("usage: service unavailable")
	// ErrUnknown says that no answer came.
	ErrUnknown = errors.New("usage: outcome unknown")
)

// The headers that name who sends a report, apart from who sealed it.
const (
	HeaderSender      = "Sender"
	HeaderSenderFence = "Sender-Fence"
)

// Client gives access to the billing. All fields must be set.
type Client struct {
	// Report sends one sealed window.
	Report func(ctx context.Context, window Window) error
}

type sender struct {
	holder string
	fence  uint64
}

type senderKey struct{}

// WithSender names the daemon that sends reports under this context and the
// fencing number of its lease, which differ from the window's own when a
// successor reports again.
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
	if from, ok := ctx.Value(senderKey{}).(sender); ok {
		header.Set(HeaderSender, from.holder)
		header.Set(HeaderSenderFence, strconv.FormatUint(from.fence, 10))
	}
	_, err = s.rest.CallRaw(ctx, http.MethodPost, "/usage/windows", body, header)
	return reportError(err)
}

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
