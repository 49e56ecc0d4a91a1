//go:build review

package rig3

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Try is one attempt of a consumer.
type Try struct {
	ID      string
	Machine string
	Sent    time.Time
	Ended   time.Time
	// Status is 0 if no whole answer arrived.
	Status int
	Header http.Header
	Body   string
	Error  string
}

// Consumers sends requests and keeps what became of them.
type Consumers struct {
	Host, Path, Method, Key string
	Body                    string
	TimeLimit               time.Duration

	count atomic.Uint64
	mu    sync.Mutex
	tries []Try
	tasks sync.WaitGroup
}

// newClient returns a client that keeps connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// Offer sends a number of requests a second to a machine until a time.
func (c *Consumers) Offer(m *Machine, perSecond float64, until time.Time) {
	c.tasks.Add(1)
	go c.run(m, perSecond, until)
}

func (c *Consumers) run(m *Machine, perSecond float64, until time.Time) {
	defer c.tasks.Done()
	client := newClient()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for time.Now().Before(until) {
		<-ticker.C
		c.tasks.Add(1)
		go func() {
			defer c.tasks.Done()
			c.Send(client, m)
		}()
	}
}

// Wait waits until all requests have ended.
func (c *Consumers) Wait() { c.tasks.Wait() }

// Tries returns what became of the requests.
func (c *Consumers) Tries() []Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Try(nil), c.tries...)
}

// Send sends one request to a machine.
func (c *Consumers) Send(client *http.Client, m *Machine) Try {
	try := Try{ID: fmt.Sprintf("%016x", c.count.Add(1)), Machine: m.Name, Sent: time.Now()}
	c.exchange(client, m, &try)
	try.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, try)
	return try
}

func (c *Consumers) exchange(client *http.Client, m *Machine, try *Try) {
	ctx, cancel := context.WithTimeout(context.Background(), c.TimeLimit)
	defer cancel()
	var body io.Reader
	if c.Body != "" {
		body = &onceReader{text: c.Body}
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+m.Front()+c.Path, body)
	if err != nil {
		try.Error = err.Error()
		return
	}
	request.ContentLength = int64(len(c.Body))
	request.Host = c.Host
	request.Header.Set(FieldID, try.ID)
	request.Header.Set(FieldTimeLeft, strconv.FormatInt(c.TimeLimit.Milliseconds(), 10))
	request.Header.Set(FieldKey, c.Key)
	answer, err := client.Do(request)
	if err != nil {
		try.Error = err.Error()
		return
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		try.Error = err.Error()
		return
	}
	try.Status, try.Header, try.Body = answer.StatusCode, answer.Header, string(content)
}

// onceReader reads a text. It has no method by which a client could send it again.
type onceReader struct{ text string }

// Read implements io.Reader.
func (r *onceReader) Read(buf []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(buf, r.text)
	r.text = r.text[n:]
	return n, nil
}
