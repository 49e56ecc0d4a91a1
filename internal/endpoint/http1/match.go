package http1

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

const (
	// maxUnmatchedAnswers is how many answers that belong to no request are discarded
	// before the connection is closed.
	maxUnmatchedAnswers = 2
	// maxUnmatchedBytes bounds the body of an answer that is discarded.
	maxUnmatchedBytes = 4 << 20
)

var (
	errTooManyUnmatched = errors.New("the endpoint answers other requests")
	errUnmatchedLength  = errors.New("stray answer without a length")
	errUnmatchedSize    = errors.New("stray answer is too long")
	errUnmatchedClose   = errors.New("the endpoint closes the connection with an answer that names no request")
)

// owner is the request to which an answer belongs.
type owner int

const (
	// ours: the answer belongs to the request that was sent last.
	ours owner = iota
	// anothers: the answer names another request.
	anothers
	// unnamed: the answer names no request, and may be a repeated one.
	unnamed
)

// String returns the name under which an answer is counted.
func (o owner) String() string {
	switch o {
	case ours:
		return "Own"
	case anothers:
		return "OfAnother"
	case unnamed:
	}
	return "WithoutID"
}

var strayAnswers = metric.NewMap("Endpoint.StrayAnswers", "Answers of endpoints that were discarded on connections, since they have the ID of another request or, after an earlier answer, none.")

// ownerOf returns the owner of an answer. An error without an ID is believed only if it is
// the first answer on the connection: it can belong to no earlier request.
func (c *Conn) ownerOf(answer *Answer, request Request) owner {
	switch id := c.pool.config.AnsweredID(answer.Header); {
	case id == request.ID:
		return ours
	case id != "":
		return anothers
	case !c.heard && answer.Status >= http.StatusBadRequest:
		return ours
	}
	return unnamed
}

// refusals are the statuses with which endpoints refuse requests that they do not run.
var refusals = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// allowsReuse reports whether the connection may be used again after the answer to a request.
// If the request comes once more with its ID, a refusal that is sent again could not be told
// from the answer, nor could a later error of an endpoint that gives them no ID.
func (c *Conn) allowsReuse(answer *Answer) bool {
	return answer.reusable && c.pool.config.AnsweredID(answer.Header) != "" && !slices.Contains(refusals, answer.Status)
}

// readAnswer reads the status and header of the answer to a request. It discards answers
// that are not known to belong to it.
func (c *Conn) readAnswer(request Request) (*Answer, error) {
	for range maxUnmatchedAnswers + 1 {
		answer, err := readHead(c, request.Method)
		if err != nil {
			return nil, err
		}
		owner := c.ownerOf(answer, request)
		c.heard = true
		if owner == ours {
			answer.reusable = c.allowsReuse(answer)
			return answer, c.netConn.SetReadDeadline(c.pool.config.Clock.Deadline(request.Deadline))
		}
		strayAnswers.Add(owner.String(), 1)
		if err := answer.discard(); err != nil {
			return nil, err
		}
		if owner == unnamed {
			if err := c.waitForNamed(answer, request.Deadline); err != nil {
				return nil, err
			}
		}
	}
	return nil, errTooManyUnmatched
}

// waitForNamed limits the wait for another answer to half of the time that is left. If the
// endpoint gives its refusals no ID, none comes: there is time then to send the request
// elsewhere, if it may be repeated.
func (c *Conn) waitForNamed(stray *Answer, deadline clock.Millis) error {
	if !stray.reusable {
		return errUnmatchedClose
	}
	clk := c.pool.config.Clock
	now := clk.Now()
	return c.netConn.SetReadDeadline(clk.Deadline(now + (deadline-now)/2))
}

// discard reads the body of an answer, so that the next answer on the connection can be read.
func (a *Answer) discard() error {
	if a.Ending == EndsWithConnection {
		return errUnmatchedLength
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a.body, maxUnmatchedBytes))
	if err == nil && n == maxUnmatchedBytes {
		return errUnmatchedSize
	}
	return err
}
