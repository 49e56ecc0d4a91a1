package relay

import (
	"context"
	"maps"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
)

// addressCheckInterval is the shortest time between two checks of the address of an endpoint.
const addressCheckInterval = clock.Second

// handleMisdirected records an attempt that was not run at the address of the endpoint since it
// was meant for another one, or since it has a condition that the endpoint does not meet.
func (x *exchange) handleMisdirected(placement Placement, head AnswerHead) result {
	h := x.handler
	h.config.Scheduler.RecordEnd(placement, balance.Canceled)
	if head.Endpoint == placement.Endpoint {
		h.config.Scheduler.RecordSignals(placement, head)
		h.config.Quarantine.RecordAnswer(placement)
		return x.handleDeclined(placement)
	}
	if head.Endpoint != "" {
		h.config.Scheduler.InvalidateAddress(placement)
	}
	h.checkAddress(placement, x.call.Conditional)
	if head.Endpoint == "" && x.call.Conditional {
		return x.handleDeclined(placement)
	}
	x.attempts.sent--
	x.attempts.lastReason = "another endpoint has the address"
	x.recordFailure(x.attempts.lastReason, placement, nil)
	return notSent
}

// handleDeclined records an attempt at an endpoint that does not meet the condition of the
// request. That says nothing of the endpoint for other requests.
func (x *exchange) handleDeclined(placement Placement) result {
	x.attempts.lastReason = "endpoint does not meet the condition of the request"
	x.recordFailure(x.attempts.lastReason, placement, nil)
	return declined
}

// checkAddress finds out in the background whether the endpoint of a placement has its address,
// unless that was done a short time ago. conditional is set if the request whose answer left that
// open had a condition.
func (h *Handler) checkAddress(placement Placement, conditional bool) {
	if h.checks.begin(h.config.Clock.Now(), placement.Endpoint) {
		go (&addressCheck{handler: h, placement: placement, conditional: conditional}).run()
	}
}

// addressCheck asks the endpoint at an address what it is.
type addressCheck struct {
	handler     *Handler
	placement   Placement
	conditional bool
}

// run decides by the report from the address. Without one, the answer to a request with a
// condition proves nothing, since any caller can bring it about.
func (c *addressCheck) run() {
	s := c.handler.config.Scheduler
	incarnation, known := c.ask()
	switch {
	case known && incarnation == c.placement.Incarnation:
		s.ConfirmAddress(c.placement)
	case known || !c.conditional:
		s.InvalidateAddress(c.placement)
	}
}

// ask returns the incarnation of the endpoint at the address, if it states one.
func (c *addressCheck) ask() (incarnation int64, known bool) {
	config, p := &c.handler.config, c.placement
	if p.Incarnation == 0 {
		return 0, false // There is nothing to compare it with.
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportPatience.Duration())
	defer cancel()
	connection, err := config.Connect(ctx, connect.Target{Endpoint: p.Endpoint, Address: p.Address, FailureDomain: p.FailureDomain, Repeatable: true})
	if err != nil {
		return 0, false
	}
	report, err := config.Wire.Report.Send(ctx, connection.Ask, p.Address, config.Clock.Now()+reportPatience)
	if report.Open {
		connection.Cancel()
	}
	return report.Incarnation, report.Known && err == nil
}

// addressChecks holds when the address of each endpoint was checked a short time ago. It is safe
// for concurrent use.
type addressChecks struct {
	mu sync.Mutex
	at map[string]clock.Millis
}

func newAddressChecks() *addressChecks {
	return &addressChecks{at: make(map[string]clock.Millis)}
}

// begin reports whether it is time for a check of an endpoint, and records that one begins.
func (c *addressChecks) begin(now clock.Millis, endpoint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.at, func(_ string, at clock.Millis) bool { return now-at >= addressCheckInterval })
	if _, recent := c.at[endpoint]; recent {
		return false
	}
	c.at[endpoint] = now
	return true
}
