package object

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/internal/platform/rest"
)

type service struct {
	rest *rest.Client
}

// New returns a client of the object store at baseURL.
func New(baseURL string, httpClient *http.Client) Client {
	s := &service{rest: rest.New(baseURL, httpClient)}
	return Client{Get: s.get, Put: s.put}
}

func (s *service) get(ctx context.Context, name string) (data []byte, err error) {
	defer func() { err = oops.Wrapf(err, "get object %s", name) }()
	data, err = s.rest.CallRaw(ctx, http.MethodGet, objectPath(name), nil, nil)
	return data, objectError(err)
}

func (s *service) put(ctx context.Context, name string, data []byte) (err error) {
	defer func() { err = oops.Wrapf(err, "put object %s", name) }()
	if data == nil {
		data = []byte{}
	}
	_, err = s.rest.CallRaw(ctx, http.MethodPut, objectPath(name), data, nil)
	return objectError(err)
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// objectError wraps the error of a call in the matching error of this package.
func objectError(err error) error {
	if err == nil {
		return nil
	}
	var failure *rest.RequestError
	if errors.As(err, &failure) && failure.Status == http.StatusNotFound {
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
