package fleet

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// announce tells the daemons that follow this one, and those of addresses, that
// there is a newer configuration.
func (f *Fleet) announce(addresses []string) {
	f.mu.Lock()
	addresses = append(f.view.Subscribers(), addresses...)
	f.mu.Unlock()
	f.send(addresses, message.FleetNews, news{Address: f.config.Self.Address})
}

// Announce tells the daemons that follow this one, its upstream or the roots of the
// other failure domains that the store has a newer configuration.
func (f *Fleet) Announce() {
	f.mu.Lock()
	above := f.above()
	f.mu.Unlock()
	f.announce(above)
}

// above returns the address of the upstream, or for a root those of the other roots.
// The lock must be held.
func (f *Fleet) above() []string {
	now := f.config.Clock.Now()
	if upstream, found := f.view.Upstream(now); found {
		return []string{upstream}
	}
	return f.view.RemoteRoots(now)
}

// Neighbors returns the addresses of the daemons next to this one in the tree, through which
// news reaches all others.
func (f *Fleet) Neighbors() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.view.Subscribers(), f.above()...)
}

// Owners returns the addresses of the daemons that may own a key of the whole fleet, the
// owner first.
func (f *Fleet) Owners(key string) []string {
	return f.endpointOwners("", key)
}

// endpointOwners returns the addresses of the daemons that may own an endpoint of a failure
// domain, the owner first.
func (f *Fleet) endpointOwners(domain, endpoint string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Owners(f.config.Clock.Now(), domain, endpoint)
}

// wakeUpstream pings the daemon to follow now.
func (f *Fleet) wakeUpstream() {
	f.mu.Lock()
	upstream, found := f.view.Upstream(f.config.Clock.Now())
	f.mu.Unlock()
	if found {
		f.wakePeer(upstream)
	}
}

// wakePeer pings a peer now, if it is one that this daemon contacts.
func (f *Fleet) wakePeer(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[address]; p != nil {
		p.wakeUp()
	}
}

// wakeUp makes the peer be pinged now.
func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (f *Fleet) serveNews(_ context.Context, _ string, n news) (struct{}, error) {
	f.wakePeer(n.Address)
	return struct{}{}, nil
}
