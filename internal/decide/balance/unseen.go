package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// RemoteTraffic says how much of the fleet's work a daemon hears of late.
type RemoteTraffic struct {
	// Share is the part of all requests that other daemons send.
	Share float64
	// UpdateLag is the mean age of what is heard of them.
	UpdateLag clock.Millis
}

// SetRemoteTraffic says how much of the work is heard of late.
func (b *Balancer) SetRemoteTraffic(others RemoteTraffic) {
	b.others = others
}

// unseen is the work, in ms for each endpoint, that others have sent and of
// which nothing was heard yet, if they go on as they did lately.
func (b *Balancer) unseen(now clock.Millis, p *pool) float64 {
	busy, serving := p.busy(now, 1)
	return busy * b.others.Share * float64(b.others.UpdateLag) / float64(max(serving, 1))
}

// spread returns a number from 0 up to 1 for an endpoint and a request. Daemons
// that know the same would otherwise all choose the same endpoint until they
// hear of each other.
func spread(endpoint string, seed uint64) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(endpoint)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, seed))
	return float64(digest.Sum64()>>11) / (1 << 53)
}
