package connect

import (
	"context"
	"errors"
	"sync"

	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// errDialSilent means that an endpoint has not answered a dial yet.
var errDialSilent = errors.New("the endpoint has not answered the dial")

// errDialUsed means that the connection of a dial went to another request.
var errDialUsed = errors.New("the connection was used for another request")

// dial opens a connection in the background. One that nobody waits for goes to the pool.
type dial struct {
	connector *Connector
	endpoint  string
	address   string
	done      chan struct{}
	err       error

	mu sync.Mutex
	// conn is the connection, until wait returns it.
	conn *http1.Conn
	// awaited is set while a request waits.
	awaited bool
}

// startDial starts to dial an endpoint.
func (c *Connector) startDial(endpoint, address string) *dial {
	d := &dial{connector: c, endpoint: endpoint, address: address, done: make(chan struct{}), awaited: true}
	go d.run()
	return d
}

func (d *dial) run() {
	defer close(d.done)
	conn, err := d.connector.config.Pool.Dial(context.Background(), d.endpoint, d.address)
	if err != nil {
		d.err = err
		return
	}
	connections.Add("Opened", 1)
	d.connector.recordHeard(d.endpoint)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.awaited {
		conn.Release()
		return
	}
	d.conn = conn
}

// wait returns the connection, or errDialSilent after dialPatience. The dial goes on then.
func (d *dial) wait(ctx context.Context) (*http1.Conn, error) {
	patient, cancel := context.WithTimeout(ctx, dialPatience.Duration())
	defer cancel()
	conn, err := d.waitToEnd(patient)
	if err != nil && patient.Err() != nil && ctx.Err() == nil {
		return nil, errDialSilent
	}
	return conn, err
}

// waitToEnd returns the connection, or the error of the dial. If ctx ends first, the dial
// goes on.
func (d *dial) waitToEnd(ctx context.Context) (*http1.Conn, error) {
	d.mu.Lock()
	d.awaited = true
	d.mu.Unlock()
	select {
	case <-d.done:
	case <-ctx.Done():
		d.abandon()
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	return d.take()
}

// abandon lets the connection go to the pool.
func (d *dial) abandon() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaited = false
	if d.conn != nil {
		d.conn.Release()
		d.conn = nil
	}
}

// take returns the connection, which may have gone to the pool meanwhile.
func (d *dial) take() (*http1.Conn, error) {
	d.mu.Lock()
	conn := d.conn
	d.conn = nil
	d.mu.Unlock()
	if conn == nil {
		conn = d.connector.config.Pool.Take(d.endpoint)
	}
	if conn == nil {
		return nil, errDialUsed
	}
	return conn, nil
}

// isSilent reports whether the endpoint has neither accepted nor refused the dial.
func (d *dial) isSilent() bool {
	select {
	case <-d.done:
		return errors.Is(d.err, context.DeadlineExceeded)
	default:
		return true
	}
}

// failure returns why the dial has not succeeded.
func (d *dial) failure() error {
	if d.isSilent() {
		return errDialSilent
	}
	return d.err
}

// maxProbes limits the probes of a daemon that are under way.
const maxProbes = 16

// probe tries this daemon's own path to an endpoint that only peers reach, if it is time.
func (c *Connector) probe(endpoint, address string) {
	c.mu.Lock()
	due := c.probes < maxProbes && c.table.TakeProbe(c.config.Clock.Now(), endpoint)
	if due {
		c.probes++
	}
	c.mu.Unlock()
	if due {
		d := c.startDial(endpoint, address)
		d.abandon()
		go (&probe{dial: d}).run()
	}
}

// probe is a dial that no request waits for.
type probe struct {
	dial *dial
}

// run counts the probe until it ends.
func (p *probe) run() {
	<-p.dial.done
	c := p.dial.connector
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes--
}
