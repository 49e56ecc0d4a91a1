// Package change implements what all commands that change the configuration
// share: the flags for the request ID and the expected revision, and the report
// of the outcome.
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
	// RequestID is the value of --request-id; empty to generate one.
	RequestID string
	// ExpectedRevision is the value of --expected-revision; 0 to use the
	// revision that the command reads.
	ExpectedRevision uint64
	Format           output.Format
}

// AddFlags adds --request-id and --json.
func (o *Options) AddFlags(cmd *cobra.Command) {
	o.AddRequestIDFlag(cmd)
	o.Format.AddFlag(cmd, &operatorv1.ChangeResponse{})
}

// AddRequestIDFlag adds only --request-id.
func (o *Options) AddRequestIDFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.RequestID, "request-id", "", "identify the change, so that running the command again does not apply it twice")
}

// AddRevisionFlag adds --expected-revision.
func (o *Options) AddRevisionFlag(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&o.ExpectedRevision, "expected-revision", 0, "refuse the change unless this is the entity's revision (default: the revision read first)")
}

// EnsureRequestID returns the request ID. If none was given, the first call
// generates one.
func (o *Options) EnsureRequestID() string {
	if o.RequestID == "" {
		random := make([]byte, requestIDBytes)
		// Read never returns an error.
		_, _ = rand.Read(random)
		o.RequestID = hex.EncodeToString(random)
	}
	return o.RequestID
}

// ExpectedRevisionOr returns the value of --expected-revision, or current, the
// revision that the command has read, if the flag was not given.
func (o *Options) ExpectedRevisionOr(current uint64) uint64 {
	if o.ExpectedRevision != 0 {
		return o.ExpectedRevision
	}
	return current
}

// AddRetryHint adds the request ID for a retry to an error after which the
// outcome is unknown or the daemon was unavailable. It returns other errors
// unchanged.
func (o *Options) AddRetryHint(err error) error {
	switch status.Code(err) {
	case codes.Unknown, codes.DeadlineExceeded, codes.Unavailable:
		return &retryableError{cause: err, requestID: o.EnsureRequestID()}
	}
	return err
}

// retryableError is the error of a change that was not applied, or may have been
// applied, and can be retried with the same request ID.
type retryableError struct {
	cause     error
	requestID string
}

// Error implements error.
func (e *retryableError) Error() string {
	return fmt.Sprintf("%s\nRun the command again with --request-id %s; the change is applied at most once.", exit.Message(e.cause), e.requestID)
}

// Unwrap returns the gRPC error.
func (e *retryableError) Unwrap() error { return e.cause }

// Report prints the outcome of a change and returns the error of the command.
func (o *Options) Report(io *streams.Streams, verb string, response *operatorv1.ChangeResponse, err error) error {
	if err != nil {
		return o.AddRetryHint(err)
	}
	if err := o.printOutcome(io, verb, response); err != nil {
		return err
	}
	return ReportUnconfirmed(io, response)
}

// ReportUnconfirmed prints which daemons have not confirmed a change. It returns
// exit.ErrPending if the change is pending.
func ReportUnconfirmed(io *streams.Streams, response *operatorv1.ChangeResponse) error {
	if len(response.GetUnconfirmed()) > 0 {
		_, _ = fmt.Fprintf(io.ErrOut, "Not confirmed yet by: %s\n", strings.Join(response.GetUnconfirmed(), ", "))
	}
	if response.GetPending() {
		return exit.ErrPending
	}
	return nil
}

func (o *Options) printOutcome(io *streams.Streams, verb string, response *operatorv1.ChangeResponse) error {
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
	position := fmt.Sprintf("change %d", response.GetSequence())
	if response.GetPending() {
		position = "not in the store yet"
	}
	_, err := fmt.Fprintf(io.Out, "In force in %d of %d daemons, %s.\n",
		confirmed, confirmed+len(response.GetUnconfirmed()), position)
	return err
}
