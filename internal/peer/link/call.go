package link

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Handle sets the handler for messages of one type. It must be called before
// Start. The response is ignored for one-way messages.
func Handle[Req, Resp any](l *Link, t message.Type, serve func(ctx context.Context, from string, req Req) (Resp, error)) {
	l.handlers[t] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var req Req
		if err := frame.Decode(body, &req); err != nil {
			return nil, err
		}
		resp, err := serve(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return frame.Encode(resp)
	}
}

// Call sends a request to a peer and waits for the response. The error is
// ErrUnreachable if the request was not sent, ErrNoAnswer or the error of ctx if
// the peer may have served it, and *RemoteError if the handler failed.
func Call[Req, Resp any](ctx context.Context, l *Link, peer Peer, t message.Type, req Req) (resp Resp, err error) {
	defer func() { err = oops.Wrapf(err, "call peer %s, message %#x", peer.ID, t) }()
	body, err := frame.Encode(req)
	if err != nil {
		return resp, err
	}
	out, err := l.outgoingTo(peer)
	if err != nil {
		return resp, err
	}
	c, err := out.connect(ctx)
	if err != nil {
		return resp, err
	}
	answer, err := c.call(ctx, frame.Frame{Kind: frame.Request, Type: t, Body: body})
	if err != nil {
		return resp, err
	}
	return resp, frame.Decode(answer, &resp)
}

// Send queues a one-way message to a peer and returns without waiting. The
// message is lost if the peer is unreachable.
func Send[Body any](l *Link, peer Peer, t message.Type, body Body) error {
	return Broadcast(l, []Peer{peer}, t, body)
}

// Broadcast encodes a one-way message once and queues it for several peers. The
// error joins the errors of the peers for which it could not be queued.
func Broadcast[Body any](l *Link, peers []Peer, t message.Type, body Body) error {
	encoded, err := frame.Encode(body)
	if err != nil {
		return err
	}
	var failures []error
	for _, peer := range peers {
		failures = append(failures, l.send(peer, t, encoded))
	}
	return errors.Join(failures...)
}

func (l *Link) send(peer Peer, t message.Type, encoded []byte) error {
	out, err := l.outgoingTo(peer)
	if err != nil {
		return err
	}
	err = out.send(frame.Frame{Kind: frame.OneWay, Type: t, Body: encoded})
	if err != nil {
		dropped.Add(1)
	}
	return err
}
