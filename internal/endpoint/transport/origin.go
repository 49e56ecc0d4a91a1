package transport

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// fieldRequestID is the header field in which endpoints repeat the ID of a request.
const fieldRequestID = "Request-Id"

// Origin is where the answer to a call came from.
type Origin struct {
	// reused is set if the connection carried another call before.
	reused atomic.Bool
}

// TraceOrigin returns a context for one call, and the Origin of the answer to it.
func TraceOrigin(ctx context.Context) (context.Context, *Origin) {
	o := &Origin{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { o.reused.Store(info.Reused) },
	}), o
}

// IsOfAnother reports whether an answer names another request.
func IsOfAnother(header http.Header, requestID string) bool {
	id := header.Get(fieldRequestID)
	return id != "" && id != requestID
}

// Proves reports whether an answer certainly belongs to the request. On a connection that
// carried another call before, a faulty endpoint may send an earlier answer again, so that
// only the ID proves it.
func (o *Origin) Proves(header http.Header, requestID string) bool {
	return header.Get(fieldRequestID) == requestID || (!o.reused.Load() && !IsOfAnother(header, requestID))
}
