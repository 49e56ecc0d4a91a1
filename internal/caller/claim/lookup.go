package claim

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// LookupRequest asks a daemon for a claim that it holds according to the table.
type LookupRequest struct {
	Scope       string
	Key         string
	Nonce       string
	Incarnation string
}

// LookupResponse is the response to a LookupRequest.
type LookupResponse struct {
	// Held reports whether the daemon holds the claim, or has finished it and
	// waits for the write to the table.
	Held bool
	// Record is the daemon's own record of the claim.
	Record claim.Record
}

// RegisterLookup registers the handler that answers lookups of this daemon's
// claims. It must be called before the link is started.
func RegisterLookup(l *link.Link, store *claim.Store) {
	h := &lookupHandler{store: store}
	link.Handle(l, message.ClaimLookup, h.handle)
}

type lookupHandler struct {
	store *claim.Store
}

func (h *lookupHandler) handle(_ context.Context, _ string, lookup LookupRequest) (LookupResponse, error) {
	if lookup.Incarnation != h.store.Incarnation() {
		return LookupResponse{}, nil
	}
	record, held := h.store.LocalRecord(lookup.Scope, lookup.Key, lookup.Nonce)
	return LookupResponse{Held: held, Record: record}, nil
}

// NewRemoteLookup returns a function for Config.RemoteLookup. find returns the
// address of a daemon, and false when it is unknown.
func NewRemoteLookup(l *link.Link, find func(daemon string) (address string, ok bool)) func(ctx context.Context, owner string, lookup LookupRequest) (LookupResponse, error) {
	return func(ctx context.Context, owner string, lookup LookupRequest) (LookupResponse, error) {
		address, ok := find(owner)
		if !ok {
			return LookupResponse{}, link.ErrUnreachable
		}
		peer := link.Peer{ID: owner, Address: address}
		return link.Call[LookupRequest, LookupResponse](ctx, l, peer, message.ClaimLookup, lookup)
	}
}
