package rpc

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/table"
)

// invalid returns an INVALID_ARGUMENT error whose details name the field.
func invalid(field, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	st := status.New(codes.InvalidArgument, field+": "+message)
	detailed, err := st.WithDetails(&errdetails.BadRequest{
		FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: field, Description: message}},
	})
	if err != nil {
		return st.Err()
	}
	return detailed.Err()
}

// storeUnavailable returns an UNAVAILABLE error with an ErrorInfo detail. The
// detail shows clients that the daemon sent the error; gRPC reports a broken
// connection as UNAVAILABLE without details.
func storeUnavailable(message string) error {
	st := status.New(codes.Unavailable, message)
	detailed, err := st.WithDetails(&errdetails.ErrorInfo{Reason: "STORE_UNAVAILABLE", Domain: "banyanshift"})
	if err != nil {
		return st.Err()
	}
	return detailed.Err()
}

func notFound(kind, name string) error {
	return status.Errorf(codes.NotFound, "there is no %s %q", kind, name)
}

// proposeError converts an error of Config.Propose to a gRPC status.
func proposeError(err error) error {
	var conflict *changelog.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return status.Errorf(codes.Aborted, "conflict: %v; read it again and decide anew", conflict)
	case errors.Is(err, changelog.ErrConflict):
		return status.Error(codes.Aborted, "conflict: somebody else changed it; read it again and decide anew")
	case errors.Is(err, changelog.ErrRequestIDReused):
		return status.Error(codes.AlreadyExists, "the request ID was used for a different change; choose another")
	case errors.Is(err, changelog.ErrInvalid):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, table.ErrUnknown):
		return status.Error(codes.Unknown, "the outcome is not known: send the change again with the same request ID")
	case errors.Is(err, table.ErrUnavailable):
		return storeUnavailable("the store cannot be reached; nothing was changed")
	}
	return readError(err)
}

// readError converts an error of a read to a gRPC status.
func readError(err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	case errors.Is(err, context.Canceled):
		return status.Error(codes.Canceled, err.Error())
	case errors.Is(err, table.ErrUnavailable):
		return storeUnavailable("the store cannot be reached")
	}
	return status.Error(codes.Internal, err.Error())
}
