// Package table is the client of the platform's transactional table service.
//
// # Usage
//
//	client := table.New("http://10.0.0.1:8000", httpClient)
//	row, err := client.Get(ctx, "Lease/sask-central")
//
// The functions return the errors of package coord/table. Commit sends a transaction
// at most once: if the response is lost, it returns table.ErrUnknown and does not
// retry.
package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
)

// GetQuery is the request body of /table/get.
type GetQuery struct {
	Key string
}

// ScanQuery is the request body of /table/scan.
type ScanQuery struct {
	Prefix string
	After  string
	Limit  int
}

// ScanResult is the response body of /table/scan.
type ScanResult struct {
	Rows []table.Row
}

type service struct {
	rest *rest.Client
}

// New returns a client of the table service at baseURL.
func New(baseURL string, httpClient *http.Client) table.Client {
	s := &service{rest: rest.New(baseURL, httpClient)}
	return table.Client{Get: s.get, Scan: s.scan, Commit: s.commit}
}

func (s *service) get(ctx context.Context, key string) (row table.Row, err error) {
	defer func() { err = oops.Wrapf(err, "get row %s", key) }()
	err = readError(s.rest.Call(ctx, http.MethodPost, "/table/get", GetQuery{Key: key}, &row))
	return row, err
}

func (s *service) scan(ctx context.Context, prefix, after string, limit int) (rows []table.Row, err error) {
	defer func() { err = oops.Wrapf(err, "scan rows %s", prefix) }()
	query := ScanQuery{Prefix: prefix, After: after, Limit: limit}
	var result ScanResult
	err = readError(s.rest.Call(ctx, http.MethodPost, "/table/scan", query, &result))
	return result.Rows, err
}

func (s *service) commit(ctx context.Context, txn table.Txn) (err error) {
	defer func() { err = oops.Wrapf(err, "commit %d writes", len(txn.Writes)) }()
	return commitError(s.rest.Call(ctx, http.MethodPost, "/table/commit", txn, nil))
}

// readError wraps the error of any failed read in table.ErrUnavailable, since a
// read has no effect whose outcome could be unknown.
func readError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
}

// commitError wraps the error of a commit in the matching error of package table.
func commitError(err error) error {
	if err == nil {
		return nil
	}
	var failure *rest.RequestError
	if !errors.As(err, &failure) {
		return fmt.Errorf("%w: %w", table.ErrUnknown, err)
	}
	switch {
	case failure.Status == http.StatusConflict:
		return fmt.Errorf("%w: %w", table.ErrConflict, err)
	case failure.NotExecuted():
		return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: %w", table.ErrUnknown, err)
	}
}
