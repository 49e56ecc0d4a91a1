package vmlist

import (
	"context"
	"net/http"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/internal/platform/rest"
)

// Client reads the list of VMs. All fields are required.
type Client struct {
	// List returns the VMs as the platform knew them some seconds ago. Any
	// error means that the list could not be read.
	List func(ctx context.Context) ([]VM, error)
}

type service struct {
	rest *rest.Client
}

// New returns a client of the VM list at baseURL.
func New(baseURL string, httpClient *http.Client) Client {
	s := &service{rest: rest.New(baseURL, httpClient)}
	return Client{List: s.list}
}

func (s *service) list(ctx context.Context) (vms []VM, err error) {
	defer func() { err = oops.Wrapf(err, "list VMs") }()
	err = s.rest.Call(ctx, http.MethodGet, "/vms", nil, &vms)
	return vms, err
}
