package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

// callerKeyPrefix starts the key of every caller. Such a key never
// authenticates an operator.
const callerKeyPrefix = "bs_"

const bearerPrefix = "Bearer "

var errUnauthenticated = status.Error(codes.Unauthenticated, "the operator token is missing or wrong")

// operatorContextKey is the key of the operator's name in a call's context.
type operatorContextKey struct{}

// guard authenticates operators.
type guard struct {
	operators []credential
	logger    logrus.FieldLogger
}

type credential struct {
	name   string
	digest [sha256.Size]byte
}

func newGuard(tokens map[string]string, logger logrus.FieldLogger) (*guard, error) {
	g := &guard{logger: logger}
	for name, text := range tokens {
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != sha256.Size {
			return nil, fmt.Errorf("digest of the token of operator %s is not 64 hex digits", name)
		}
		g.operators = append(g.operators, credential{name: name, digest: [sha256.Size]byte(digest)})
	}
	return g, nil
}

// authenticate returns the name of the operator whose token the call carries.
// It takes the same time whichever token matches.
func (g *guard) authenticate(ctx context.Context, header metadata.MD) (name string, err error) {
	token := bearerToken(header)
	digest := sha256.Sum256([]byte(token))
	matched := 0
	for _, operator := range g.operators {
		equal := subtle.ConstantTimeCompare(digest[:], operator.digest[:])
		if equal == 1 {
			name = operator.name
		}
		matched |= equal
	}
	if matched == 1 && token != "" && !strings.HasPrefix(token, callerKeyPrefix) {
		return name, nil
	}
	refusedCalls.Add(1)
	eventRefused.Log(g.logger, logrus.Fields{"Peer": peerAddress(ctx)})
	return "", errUnauthenticated
}

// tap implements tap.ServerInHandle: it authenticates a call by its header,
// before a byte of its message is read.
func (g *guard) tap(ctx context.Context, info *tap.Info) (context.Context, error) {
	name, err := g.authenticate(ctx, info.Header)
	if err != nil {
		return nil, err
	}
	return context.WithValue(ctx, operatorContextKey{}, name), nil
}

// requireOperator refuses a call that was not authenticated, whatever the
// reason.
func requireOperator(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if operatorName(ctx) == "" {
		return nil, errUnauthenticated
	}
	calls.Add(info.FullMethod, 1)
	return handler(ctx, req)
}

func refuseStream(any, grpc.ServerStream) error {
	return status.Error(codes.Unimplemented, "there is no such method; the server may be of another version")
}

// bound gives every call a deadline.
func bound(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return handler(ctx, req)
}

// recoverPanic turns a panic into an error of the one call.
func (s *Server) recoverPanic(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			eventPanic.Log(s.logger, logrus.Fields{"Method": info.FullMethod, "Cause": fmt.Sprint(cause), "Stack": string(debug.Stack())})
			err = status.Error(codes.Internal, "internal error; see the daemon's log")
		}
	}()
	return handler(ctx, req)
}

func bearerToken(header metadata.MD) string {
	values := header.Get("authorization")
	if len(values) != 1 {
		return ""
	}
	token, found := strings.CutPrefix(values[0], bearerPrefix)
	if !found {
		return ""
	}
	return token
}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

func peerAddress(ctx context.Context) string {
	from, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	return from.Addr.String()
}
