package http1

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Ending is how an answer shows where it ends.
type Ending int

const (
	// EndsWithConnection means that the endpoint closes the connection, which does not tell an
	// answer that was cut off from a complete one. The endpoint is asked then; see ConfirmEnd.
	EndsWithConnection Ending = iota
	// EndsByLength means that the answer has a content length.
	EndsByLength
	// EndsByChunks means that the answer is sent in chunks, of which the last one is empty.
	EndsByChunks
	// EndsByPeer means that a peer passes the answer on and tells its end, but not how the
	// endpoint's answer shows it.
	EndsByPeer
)

// String returns the name of the ending for logs.
func (e Ending) String() string {
	switch e {
	case EndsByLength:
		return "Length"
	case EndsByChunks:
		return "Chunks"
	case EndsByPeer:
		return "Peer"
	case EndsWithConnection:
	}
	return "Connection"
}

// IsExplicit reports whether the endpoint tells a complete answer from one that was cut off.
func (e Ending) IsExplicit() bool {
	return e == EndsByLength || e == EndsByChunks
}

// endingOf returns how a response shows its end.
func endingOf(response *http.Response) Ending {
	switch {
	case response.ContentLength >= 0:
		return EndsByLength
	case len(response.TransferEncoding) > 0:
		return EndsByChunks
	}
	return EndsWithConnection
}

// ErrEndUnconfirmed means that an answer ended with its connection and may have been cut off.
// Errors that say why wrap it.
var ErrEndUnconfirmed = errors.New("the answer ends with its connection, and may have been cut off")

var (
	// errListedAnew means that an endpoint has been listed with another incarnation.
	errListedAnew = errors.New("endpoint is listed with another incarnation")
	// errBodyNotTaken means that the endpoint has not taken the whole body of the request.
	errBodyNotTaken = errors.New("the body of the request was not written")
)

// checkEnd returns an error unless an answer that ended with its connection is whole: the body of
// the request was written, and the process that the connection led to is still there.
func (c *Conn) checkEnd(ctx context.Context, write *bodyWrite, deadline clock.Millis) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrEndUnconfirmed, err)
		}
	}()
	if err := c.waitForBody(write, deadline); err != nil {
		return err
	}
	if c.pool.config.ConfirmEnd == nil {
		return nil
	}
	if listed := c.pool.listed(c.process.Key); listed != 0 && listed != c.process.Incarnation {
		return errListedAnew
	}
	ctx, cancel := context.WithTimeout(ctx, (deadline - c.pool.config.Clock.Now()).Duration())
	defer cancel()
	return c.pool.config.ConfirmEnd(ctx, c.process)
}

// waitForBody returns an error unless the body of the request is written, for half of the time that
// is left at most. The system tells of a reset once, to the reader or to the writer of a connection.
// If the writer is told, the reader sees the same end as after a whole answer.
func (c *Conn) waitForBody(write *bodyWrite, deadline clock.Millis) error {
	if write == nil {
		return nil
	}
	clk := c.pool.config.Clock
	now := clk.Now()
	if err := c.netConn.SetWriteDeadline(clk.Deadline(now + (deadline-now)/2)); err != nil {
		return err
	}
	<-write.done
	if write.err != nil {
		return fmt.Errorf("%w: %w", errBodyNotTaken, write.err)
	}
	return nil
}
