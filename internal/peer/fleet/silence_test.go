package fleet_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/standin/faultproxy"
)

// contactTime is the time after connections fell silent from which the newest version must
// be in force everywhere.
const contactTime = 3 * time.Second

// newProxyDialer returns a proxy and a function that opens connections through it, with a
// link for each address.
func newProxyDialer(t *testing.T) (proxy *faultproxy.Proxy, dial func(context.Context, string, string) (net.Conn, error)) {
	proxy = faultproxy.New(1, clock.System())
	t.Cleanup(proxy.Close)
	return proxy, func(ctx context.Context, network, address string) (net.Conn, error) {
		link, err := proxy.SetLink(address, address)
		if err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, network, link)
	}
}

// TestVersionIsKnownInTimeThoughConnectionsFallSilent guards against daemons that wait for
// news on connections between them which have fallen silent for good.
func TestVersionIsKnownInTimeThoughConnectionsFallSilent(t *testing.T) {
	proxy, dial := newProxyDialer(t)
	rows := table.NewMemory().Client()
	fleet := make(map[string]*daemon)
	for _, id := range []string{"north-1", "north-2", "south-1", "south-2", "south-3"} {
		fleet[id] = startWith(t, environment{clock: clock.System(), dial: dial}, id, rows)
	}
	for id, d := range fleet {
		eventually(t, id+" counts all daemons", func() bool { return d.fleet.DaemonCount() == len(fleet) })
	}
	proxy.SetFault(faultproxy.Rule{Pattern: "*", Fault: faultproxy.Fault{Silence: true}})
	index, raw := version(7)
	fleet["north-1"].document.Update(index, raw, now())
	fleet["north-1"].fleet.Announce()
	written := time.Now()
	for id, d := range fleet {
		eventually(t, id+" knows the version", func() bool {
			held, _ := d.document.Current()
			return held != nil && held.Version() == 7
		})
	}
	took := time.Since(written)
	t.Logf("known everywhere after %v", took)
	if took > contactTime {
		t.Errorf("the version was known everywhere after %v, want %v", took, contactTime)
	}
}
