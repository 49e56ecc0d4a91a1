package rest

import (
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// NewHTTPClient returns an HTTP client for New that reads answers strictly, with the settings of base,
// which must not be used by itself any more. A timeout of 0 is none.
func NewHTTPClient(base *http.Transport, limits response.Limits, timeout clock.Millis) *http.Client {
	return &http.Client{Transport: response.NewTransport(base, limits), Timeout: timeout.Duration()}
}
