// Package exit maps the error of a command to the exit code of the process.
//
// # Usage
//
//	return exit.Usagef("--yes is needed when input is not a terminal")
//
//	os.Exit(int(exit.CodeOf(err)))
package exit

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Code is the exit code of the process.
type Code int

// The exit codes.
const (
	// OK means that the command succeeded.
	OK Code = 0
	// Failed means that the command failed for a reason that has no exit code
	// of its own.
	Failed Code = 1
	// Usage means that a flag, an argument or a file is invalid.
	Usage Code = 2
	// Conflict means that somebody else changed the entity first, or that the
	// request ID was used for a different change. Nothing was changed.
	Conflict Code = 3
	// Authentication means that the operator token is missing or wrong.
	Authentication Code = 4
	// Unavailable means that the daemon or the store cannot be reached.
	// Nothing was changed.
	Unavailable Code = 5
	// Pending means that the change is in force in the daemons that confirmed
	// it and is not in the store yet.
	Pending Code = 6
	// Unknown means that the change may have been applied. Run the command again
	// with the same --request-id to learn its outcome.
	Unknown Code = 7
	// NotFound means that the entity does not exist.
	NotFound Code = 8
	// Interrupted means that the user stopped the command.
	Interrupted Code = 130
)

// Help is the help text that lists the exit codes.
const Help = `Exit codes:
  0    done
  1    failed
  2    wrong flag, argument or file
  3    conflict: somebody else changed it first; nothing was changed
  4    operator token missing or wrong
  5    daemon or store cannot be reached; nothing was changed
  6    pending: in force in the confirmed daemons, not in the store yet
  7    outcome unknown: run again with the same --request-id
  8    no such entity
  130  interrupted`

// ErrPending is returned by a command whose change is pending.
var ErrPending = errors.New("the change is pending: it is in force in the confirmed daemons and is not in the store yet")

// usageError reports an invalid use of a command.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// Usagef returns a usage error, for which CodeOf returns Usage.
func Usagef(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// IsUsage reports whether err came from Usagef.
func IsUsage(err error) bool {
	var usage *usageError
	return errors.As(err, &usage)
}

// ExactArgs returns a cobra check that exactly the named arguments are given. It
// returns usage errors.
func ExactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < len(names) {
			return Usagef("%s is missing\n\nUsage: %s", names[len(args)], cmd.UseLine())
		}
		if len(args) > len(names) {
			return Usagef("%q is one argument too many\n\nUsage: %s", args[len(names)], cmd.UseLine())
		}
		return nil
	}
}

// CodeOf returns the exit code for the error of a command.
func CodeOf(err error) Code {
	switch {
	case err == nil:
		return OK
	case IsUsage(err):
		return Usage
	case errors.Is(err, ErrPending):
		return Pending
	case errors.Is(err, context.Canceled):
		return Interrupted
	}
	if st, ok := statusOf(err); ok {
		return codeOfStatus(st.Code())
	}
	return Failed
}

// statusOf returns the gRPC status that err is or wraps.
func statusOf(err error) (*status.Status, bool) {
	var carrier interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &carrier) {
		return nil, false
	}
	return carrier.GRPCStatus(), true
}

func codeOfStatus(code codes.Code) Code {
	switch code {
	case codes.InvalidArgument, codes.ResourceExhausted:
		return Usage
	case codes.Aborted, codes.AlreadyExists:
		return Conflict
	case codes.Unauthenticated, codes.PermissionDenied:
		return Authentication
	case codes.Unavailable:
		return Unavailable
	case codes.NotFound:
		return NotFound
	case codes.Canceled:
		return Interrupted
	case codes.DeadlineExceeded, codes.Unknown:
		return Unknown
	}
	return Failed
}

// Message returns the text of err without the prefix that gRPC adds to the text
// of a status.
func Message(err error) string {
	// Don't unwrap: an error that wraps a status has its own text.
	if carrier, ok := err.(interface{ GRPCStatus() *status.Status }); ok { //nolint:errorlint // see above
		return carrier.GRPCStatus().Message()
	}
	return err.Error()
}
