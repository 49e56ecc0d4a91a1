package order

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
)

// Errors that a Client's functions return, possibly wrapped.
var (
	// ErrOldFence says that an order with a greater fencing number came
	// before this one; nothing was done.
	ErrOldFence = errors.New("order: fencing number is out of date")
	// ErrNoCapacity says that the failure domain has no endpoint of that
	// market to give; nothing was done.
	ErrNoCapacity = errors.New("order: no capacity in this failure domain and market")
	// ErrUnavailable says that the service did not take the order; nothing
	// was done.
	ErrUnavailable = errors.New("order: service unavailable")
	// ErrUnknown says that no answer came: the order may have been carried
	// out, or may yet be.
	ErrUnknown = errors.New("order: outcome unknown")
)

// The codes of refused orders in the body of an answer.
const (
	CodeOldFence   = "OldFence"
	CodeNoCapacity = "NoCapacity"
)

// Client gives access to the endpoints. All fields must be set.
type Client struct {
	// Endpoints lists the endpoints that run, start or leave.
	Endpoints func(ctx context.Context) ([]entity.Endpoint, error)
	// Send sends one order.
	Send func(ctx context.Context, given Order) error
}

type service struct {
	rest *rest.Client
}

// New returns a client of the service at baseURL.
func New(baseURL string, httpClient *http.Client) Client {
	s := &service{rest: rest.New(baseURL, httpClient)}
	return Client{Endpoints: s.endpoints, Send: s.give}
}

func (s *service) endpoints(ctx context.Context) (endpoints []entity.Endpoint, err error) {
	defer func() { err = oops.Wrapf(err, "list endpoints") }()
	err = s.rest.Call(ctx, http.MethodGet, "/endpoints", nil, &endpoints)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return endpoints, nil
}

func (s *service) give(ctx context.Context, given Order) (err error) {
	defer func() { err = oops.Wrapf(err, "give order %s", given.ID) }()
	return giveError(s.rest.Call(ctx, http.MethodPost, "/orders", given, nil))
}

func giveError(err error) error {
	if err == nil {
		return nil
	}
	var failure *rest.RequestError
	if !errors.As(err, &failure) {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch {
	case failure.Code == CodeOldFence:
		return fmt.Errorf("%w: %w", ErrOldFence, err)
	case failure.Code == CodeNoCapacity:
		return fmt.Errorf("%w: %w", ErrNoCapacity, err)
	case failure.NotExecuted():
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
}
