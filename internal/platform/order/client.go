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
	// ErrOldFence means that the service had received an order with a greater
	// fencing number before this one; it did nothing.
	ErrOldFence = errors.New("order: fencing number is out of date")
	// ErrNoCapacity means that the failure domain has no endpoint of that
	// market available; the service did nothing.
	ErrNoCapacity = errors.New("order: no capacity in this failure domain and market")
	// ErrUnavailable means that the service did not accept the order, and did
	// nothing.
	ErrUnavailable = errors.New("order: service unavailable")
	// ErrUnknown means that the outcome is unknown: the order may have been
	// executed, or may still be.
	ErrUnknown = errors.New("order: outcome unknown")
)

// Codes of refused orders in the body of a response.
const (
	CodeOldFence   = "OldFence"
	CodeNoCapacity = "NoCapacity"
)

// Client lists endpoints and sends orders. All fields are required.
type Client struct {
	// Endpoints lists the endpoints that are running, starting or leaving. Entries that
	// name no endpoint to use are left out and passed to unusable.
	Endpoints func(ctx context.Context, unusable func(err error)) ([]entity.Endpoint, error)
	// Send sends one order.
	Send func(ctx context.Context, order Order) error
}

type service struct {
	rest *rest.Client
}

// New returns a client of the service at baseURL.
func New(baseURL string, httpClient *http.Client) Client {
	s := &service{rest: rest.New(baseURL, httpClient)}
	return Client{Endpoints: s.endpoints, Send: s.send}
}

func (s *service) endpoints(ctx context.Context, unusable func(err error)) (endpoints []entity.Endpoint, err error) {
	defer func() { err = oops.Wrapf(err, "list endpoints") }()
	data, err := s.rest.CallRaw(ctx, http.MethodGet, "/endpoints", nil, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	listed, err := rest.DecodeList[entity.Endpoint](data, unusable)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	for _, endpoint := range listed {
		if err := endpoint.Validate(); err != nil {
			unusable(err)
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func (s *service) send(ctx context.Context, order Order) (err error) {
	defer func() { err = oops.Wrapf(err, "give order %s", order.ID) }()
	return orderError(s.rest.Call(ctx, http.MethodPost, "/orders", order, nil))
}

// orderError wraps the error of a call in the matching error of this package.
func orderError(err error) error {
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
