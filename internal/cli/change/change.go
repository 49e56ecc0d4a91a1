// Package change holds what all commands that change the configuration have in
// common: the request ID, the expected revision and the report of the outcome.
//
// # Usage
//
//	opts.Change.AddFlags(cmd)
//	...
//	response, err := c.Teams.Put(ctx, &operatorv1.PutTeamRequest{RequestID: opts.Change.EnsureRequestID(), ...})
//	return opts.Change.Report(opts.IO, "Created", response, err)
package change

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// requestIDBytes is the number of random bytes in a request ID.
const requestIDBytes = 16

// Options are the flags of a command that changes the configuration.
type Options struct {
	// RequestID is the value of --request-id; empty to choose one.
	RequestID string
	// ExpectedRevision is the value of --expected-revision; 0 for the revision that
	// the command reads.
	ExpectedRevision uint64
	Format           output.Format
}

// AddFlags adds --request-id and --json.
func (o *Options) AddFlags(cmd *cobra.Command) {
	o.AddRequestIDFlag(cmd)
	o.Format.AddFlag(cmd, &operatorv1.ChangeResponse{})
}

// AddRequestIDFlag adds --request-id alone.
func (o *Options) AddRequestIDFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.RequestID, "request-id", "", "identify the change, so that running the command again does not make it twice")
}

// AddRevisionFlag adds --expected-revision.
func (o *Options) AddRevisionFlag(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&o.ExpectedRevision, "expected-revision", 0, "refuse the change unless this is the entity's revision (default: the revision read first)")
}

// EnsureRequestID returns the request ID, which it chooses at the first call if none was
// given.
func (o *Options) EnsureRequestID() string {
	if o.RequestID == "" {
		random := make([]byte, requestIDBytes)
		// Read never returns an error.
		_, _ = rand.Read(random)
		o.RequestID = hex.EncodeToString(random)
	}
	return o.RequestID
}

// ExpectedRevisionOr returns the expected revision, given what was read.
func (o *Options) ExpectedRevisionOr(read uint64) uint64 {
	if o.ExpectedRevision != 0 {
		return o.ExpectedRevision
	}
	return read
}

// AddRetryHint adds to an error of a change what to do about it.
func (o *Options) AddRetryHint(err error) error {
	switch status.Code(err) {
	case codes.Unknown, codes.DeadlineExceeded, codes.Unavailable:
		return &unsettledError{cause: err, requestID: o.EnsureRequestID()}
	}
	return err
}

// unsettledError is a failed change that may be sent again, or that may have
// been made.
type unsettledError struct {
	cause     error
	requestID string
}

// Error implements error.
func (e *unsettledError) Error() string {
	return fmt.Sprintf("%s\nRun the command again with --request-id %s; it is made once at most.", exit.Message(e.cause), e.requestID)
}

// Unwrap returns the gRPC error.
func (e *unsettledError) Unwrap() error { return e.cause }

// Report prints the outcome of a change and returns the command's error.
func (o *Options) Report(io *streams.Streams, verb string, response *operatorv1.ChangeResponse, err error) error {
	if err != nil {
		return o.AddRetryHint(err)
	}
	if err := o.print(io, verb, response); err != nil {
		return err
	}
	return ReportUnconfirmed(io, response)
}

// ReportUnconfirmed says which daemons have not confirmed a change, and returns an error
// if the change is pending.
func ReportUnconfirmed(io *streams.Streams, response *operatorv1.ChangeResponse) error {
	if len(response.GetUnconfirmed()) > 0 {
		_, _ = fmt.Fprintf(io.ErrOut, "Not confirmed yet by: %s\n", strings.Join(response.GetUnconfirmed(), ", "))
	}
	if response.GetPending() {
		return exit.ErrPending
	}
	return nil
}

func (o *Options) print(io *streams.Streams, verb string, response *operatorv1.ChangeResponse) error {
	if o.Format.JSON {
		return output.View(io, &o.Format, response)
	}
	rows := make([][]string, 0, len(response.GetRevisions()))
	for _, entity := range response.GetRevisions() {
		rows = append(rows, []string{verb, entity.GetKind(), entity.GetName(), strconv.FormatUint(entity.GetRevision(), 10)})
	}
	if err := output.Table(io, nil, rows); err != nil || !io.OutIsTerminal {
		return err
	}
	confirmed := len(response.GetConfirmed())
	place := fmt.Sprintf("change %d", response.GetSequence())
	if response.GetPending() {
		place = "not in the store yet"
	}
	_, err := fmt.Fprintf(io.Out, "In force in %d of %d daemons, %s.\n",
		confirmed, confirmed+len(response.GetUnconfirmed()), place)
	return err
}
