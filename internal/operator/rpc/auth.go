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

// callerKeyPrefix is the prefix of every caller's key. A token with this prefix
// never authenticates an operator.
const callerKeyPrefix = "bs_"

const bearerPrefix = "Bearer "

var errUnauthenticated = status.Error(codes.Unauthenticated, "the operator token is missing or wrong")

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// authenticator authenticates operators by their tokens.
type authenticator struct {
	credentials []credential
	logger      logrus.FieldLogger
}

// credential is an operator's name and the SHA-256 digest of the token.
type credential struct {
	name   string
	digest [sha256.Size]byte
}

func newAuthenticator(tokens map[string]string, logger logrus.FieldLogger) (*authenticator, error) {
	a := &authenticator{logger: logger}
	for name, text := range tokens {
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != sha256.Size {
			return nil, fmt.Errorf("token digest of operator %s must be 64 hexadecimal digits", name)
		}
		a.credentials = append(a.credentials, credential{name: name, digest: [sha256.Size]byte(digest)})
	}
	return a, nil
}

// authenticate returns the name of the operator whose token is in the header.
// It compares the token with every digest in constant time, so that its
// duration does not depend on which token matches.
func (a *authenticator) authenticate(ctx context.Context, header metadata.MD) (name string, err error) {
	token := bearerToken(header)
	digest := sha256.Sum256([]byte(token))
	matched := 0
	for _, candidate := range a.credentials {
		equal := subtle.ConstantTimeCompare(digest[:], candidate.digest[:])
		if equal == 1 {
			name = candidate.name
		}
		matched |= equal
	}
	if matched == 1 && token != "" && !strings.HasPrefix(token, callerKeyPrefix) {
		return name, nil
	}
	refusedCalls.Add(1)
	eventRefused.Log(a.logger, logrus.Fields{"Peer": peerAddress(ctx)})
	return "", errUnauthenticated
}

// tapHandle implements tap.ServerInHandle. It authenticates a call by its
// header before any of its message is read.
func (a *authenticator) tapHandle(ctx context.Context, info *tap.Info) (context.Context, error) {
	name, err := a.authenticate(ctx, info.Header)
	if err != nil {
		return nil, err
	}
	return context.WithValue(ctx, operatorContextKey{}, name), nil
}

// requireOperator refuses a call that tapHandle has not authenticated.
func requireOperator(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if operatorName(ctx) == "" {
		return nil, errUnauthenticated
	}
	calls.Add(info.FullMethod, 1)
	return handler(ctx, req)
}

func refuseUnknownMethod(any, grpc.ServerStream) error {
	return status.Error(codes.Unimplemented, "there is no such method; the server may be of another version")
}

// withTimeout bounds the duration of a call by callTimeout.
func withTimeout(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return handler(ctx, req)
}

// recoverPanic converts a panic of a handler to an error of its call.
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
