package claim

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// LookupRequest asks a daemon about a claim that the table says it holds.
type LookupRequest struct {
	Scope       string
	Key         string
	Nonce       string
	Incarnation string
}

// LookupResponse answers a Question.
type LookupResponse struct {
	// Held says that the daemon holds the claim, or has ended it and waits
	// for the table.
	Held bool
	// Record is the claim as the daemon knows it.
	Record claim.Record
}

// RegisterLookup makes a daemon answer questions about its claims. It must be called
// before the link is started.
func RegisterLookup(l *link.Link, store *claim.Store) {
	r := &responder{store: store}
	link.Handle(l, message.ClaimLookup, r.answer)
}

type responder struct {
	store *claim.Store
}

func (r *responder) answer(_ context.Context, _ string, question LookupRequest) (LookupResponse, error) {
	if question.Incarnation != r.store.Incarnation() {
		return LookupResponse{}, nil
	}
	record, held := r.store.LocalRecord(question.Scope, question.Key, question.Nonce)
	return LookupResponse{Held: held, Record: record}, nil
}

// NewRemoteLookup returns a function for Config.Ask. find returns the address of a daemon,
// and false when it is not known.
func NewRemoteLookup(l *link.Link, find func(daemon string) (address string, ok bool)) func(ctx context.Context, owner string, question LookupRequest) (LookupResponse, error) {
	return func(ctx context.Context, owner string, question LookupRequest) (LookupResponse, error) {
		address, ok := find(owner)
		if !ok {
			return LookupResponse{}, link.ErrUnreachable
		}
		peer := link.Peer{ID: owner, Address: address}
		return link.Call[LookupRequest, LookupResponse](ctx, l, peer, message.ClaimLookup, question)
	}
}
