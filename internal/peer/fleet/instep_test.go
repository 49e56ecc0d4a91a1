package fleet_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

var errCutOff = errors.New("cut off")

// network connects daemons to each other and to the table, and can cut some off.
type network struct {
	mu    sync.Mutex
	names map[string]string
	// apart holds the daemons that are cut off from the others and from the table. They
	// reach each other if together is set.
	apart    map[string]bool
	together bool
	// list is that of the store.
	list []roster.Endpoint
}

func newNetwork() *network {
	return &network{names: make(map[string]string), apart: make(map[string]bool)}
}

// cutOff cuts daemons off from all others, and from each other unless together is set.
func (n *network) cutOff(together bool, ids ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.apart)
	n.together = together
	for _, id := range ids {
		n.apart[id] = true
	}
}

func (n *network) setListed(list []roster.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = list
}

func (n *network) listed() []roster.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list
}

// isCut reports whether nothing passes between a daemon and an address, the table if that is
// empty.
func (n *network) isCut(id, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.names[address]
	if n.apart[id] && n.apart[other] {
		return !n.together
	}
	return n.apart[id] || n.apart[other]
}

// start starts a daemon in the network.
func (n *network) start(t *testing.T, id string, rows table.Client) *daemon {
	get, commit := rows.Get, rows.Commit
	rows.Get = func(ctx context.Context, key string) (table.Row, error) {
		if n.isCut(id, "") {
			return table.Row{}, errCutOff
		}
		return get(ctx, key)
	}
	rows.Commit = func(ctx context.Context, txn table.Txn) error {
		if n.isCut(id, "") {
			return errCutOff
		}
		return commit(ctx, txn)
	}
	readChanges := func(context.Context) ([]roster.Endpoint, error) {
		if n.isCut(id, "") {
			return nil, errCutOff
		}
		return n.listed(), nil
	}
	d := startWith(t, environment{clock: clock.System(), firstStart: true, readChanges: readChanges, dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.isCut(id, address) {
			return nil, errCutOff
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &cuttableConn{Conn: conn, isCut: func() bool { return n.isCut(id, address) }}, err
	}}, id, rows)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[d.address] = id
	return d
}

// cuttableConn is a connection on which nothing passes while it is cut.
type cuttableConn struct {
	net.Conn
	isCut func() bool
}

func (c *cuttableConn) Write(data []byte) (int, error) {
	if c.isCut() {
		_ = c.Close()
		return 0, errCutOff
	}
	return c.Conn.Write(data)
}

// TestStreamIsNotTakenUpByADaemonThatWasOutOfStep guards against a stream that goes on at the only
// version in a list which is behind, because a daemon answers that knows nothing of the stream.
func TestStreamIsNotTakenUpByADaemonThatWasOutOfStep(t *testing.T) {
	for _, test := range []struct {
		name, asked string
		// cut lists the daemons that are cut off while the version joins, and later those that
		// are so when the stream is taken up.
		cut, later []string
	}{
		{name: "a failure domain", asked: "south-2", cut: []string{"south-1", "south-2"}, later: []string{"south-1", "south-2"}},
		{name: "a root that hears one daemon first", asked: "south-1", cut: []string{"south-1"}, later: []string{"south-1", "south-2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			n, rows, fleet := newNetwork(), table.NewMemory().Client(), make(map[string]*daemon)
			for _, id := range []string{"north-1", "north-2", "south-1", "south-2"} {
				fleet[id] = n.start(t, id, rows)
			}
			for id, d := range fleet {
				eventually(t, id+" counts all daemons", func() bool { return d.fleet.DaemonCount() == len(fleet) })
			}
			asked := fleet[test.asked]
			eventually(t, "the only version is believed", func() bool {
				setSoftware(fleet, "1") // Lists become old.
				return findStream(asked, "unknown") == "1"
			})
			n.cutOff(true, test.cut...)
			n.setListed(softwareList("1", "2"))
			for id, d := range fleet {
				if !slices.Contains(test.cut, id) {
					setSoftware(map[string]*daemon{id: d}, "1", "2")
				}
			}
			fleet["north-2"].fleet.RecordStream(relay.StreamStart{RequestID: "late", Backend: "books", SoftwareVersion: "2"})
			time.Sleep(200 * time.Millisecond) // The daemons tell each other.
			n.cutOff(true, test.later...)
			if got := findStream(asked, "late"); got == "1" {
				t.Error("a stream of version 2 is taken for one of version 1")
			}
		})
	}
}

// TestVersionThatHasJustJoinedIsNotOverlooked guards against a daemon that stood still and looks
// at its list before the news that have arrived meanwhile.
func TestVersionThatHasJustJoinedIsNotOverlooked(t *testing.T) {
	t.Parallel()
	n, rows, fleet := newNetwork(), table.NewMemory().Client(), make(map[string]*daemon)
	for _, id := range []string{"north-1", "south-1"} {
		fleet[id] = n.start(t, id, rows)
	}
	asked := fleet["south-1"]
	eventually(t, "the only version is believed", func() bool {
		setSoftware(fleet, "1") // Lists become old.
		return asked.fleet.DaemonCount() == 2 && findStream(asked, "unknown") == "1"
	})
	n.setListed(softwareList("1", "2"))
	if got := findStream(asked, "unknown"); got != "" {
		t.Errorf("got version %q, want none", got)
	}
}
