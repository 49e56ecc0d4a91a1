package fleet

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
	"github.com/banyanshift/banyanshift/internal/peer/topology"
)

const (
	// contactInterval is the time between two checks of whom to ping.
	contactInterval = 100 * clock.Millisecond
	// reportedDelay is from which delay on it is recorded that the process stood still.
	reportedDelay = 150 * clock.Millisecond
	// pingInterval is the time between an answer and the next ping of a peer,
	// latePingInterval that while this daemon's news is late, retryDelay the time
	// after a failed ping, and failedInterval the time after several.
	pingInterval     = 600 * clock.Millisecond
	latePingInterval = 200 * clock.Millisecond
	retryDelay       = 100 * clock.Millisecond
	failedInterval   = 2 * clock.Second
	// pingTimeout is short so that a VM that fell silent is replaced soon.
	pingTimeout  = 800 * clock.Millisecond
	fetchTimeout = 2 * clock.Second
	// reconnectAfterFailures is the number of failed pings after which the
	// connection is opened again.
	reconnectAfterFailures = 2
	// listInterval is the time between two requests for the VMs that a peer knows,
	// and startListInterval the time between those that follow the daemon's start
	// within startTime.
	listInterval      = 30 * clock.Second
	startListInterval = clock.Second
	startTime         = 5 * clock.Second
)

// peer is a daemon that this one pings.
type peer struct {
	fleet    *Fleet
	address  string
	stop     context.CancelFunc
	wake     chan struct{}
	answered bool
	// lacks holds the features that the peer does not have, since it is of an older release.
	lacks    map[string]bool
	failures int
	// listedAt is when the peer last sent the VMs that it knows.
	listedAt  clock.Millis
	startedAt clock.Millis
}

// contactLoop starts and stops to ping daemons as the view of the fleet demands.
func (f *Fleet) contactLoop(ctx context.Context) error {
	for {
		f.updateContacts(ctx)
		due := f.config.Clock.Now() + contactInterval
		if err := f.config.Clock.Sleep(ctx, contactInterval); err != nil {
			return err
		}
		f.recordDelay(f.config.Clock.Now() - due)
	}
}

// recordDelay records for how long this process, or the goroutine that is to run now, has stood
// still.
func (f *Fleet) recordDelay(delay clock.Millis) {
	if delay < reportedDelay {
		return
	}
	delays.Record("Delay", delay)
	eventDelayed.Log(f.config.Logger, logrus.Fields{"Delay": int64(delay)})
}

func (f *Fleet) updateContacts(ctx context.Context) {
	now := f.config.Clock.Now()
	storeUnavailable := f.config.StoreUnavailable()
	f.mu.Lock()
	f.view.SetStoreUnavailable(storeUnavailable)
	removed := f.view.Expire(now)
	contacts := f.view.Contacts(now)
	var dropped []string
	for address, p := range f.peers {
		if _, found := slices.BinarySearch(contacts, address); !found {
			p.stop()
			f.view.RecordRelease(address)
			delete(f.peers, address)
			dropped = append(dropped, address)
		}
	}
	for _, address := range contacts {
		if f.peers[address] == nil {
			f.startPeer(ctx, now, address)
		}
	}
	f.updateLateness(now)
	subscribers := f.view.Subscribers()
	f.mu.Unlock()
	for _, address := range dropped {
		if !slices.Contains(subscribers, address) {
			f.config.Link.Disconnect(address)
		}
	}
	for _, vm := range removed {
		f.config.Link.Disconnect(vm.Address)
		eventPeerForgotten.Log(f.config.Logger, logrus.Fields{"Peer": vm.ID, "Address": vm.Address})
	}
}

// updateLateness pings all peers at once when this daemon's news has become late. The
// lock must be held.
func (f *Fleet) updateLateness(now clock.Millis) {
	wasLate := f.newsIsLate
	f.newsIsLate = f.view.NewsIsLate(now)
	if wasLate || !f.newsIsLate {
		return
	}
	for _, p := range f.peers {
		p.wakeUp()
	}
}

// startPeer starts to ping a daemon. The lock must be held.
func (f *Fleet) startPeer(ctx context.Context, now clock.Millis, address string) {
	ctx, stop := context.WithCancel(ctx)
	p := &peer{fleet: f, address: address, stop: stop, lacks: make(map[string]bool), wake: make(chan struct{}, 1), startedAt: now}
	f.peers[address] = p
	f.view.RecordContact(now, address)
	f.group.Go(func() error { return p.loop(ctx) })
}

// loop pings the peer until ctx ends. It never fails, so that the end of one peer
// does not end the others.
func (p *peer) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		p.sleep(ctx, p.ping(ctx))
	}
	return nil
}

// sleep waits for a time, or until the peer has announced news.
func (p *peer) sleep(ctx context.Context, d clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-p.wake:
	case <-ctx.Done():
	}
}

// ping asks the peer which versions it holds and fetches what is newer. It returns
// the time until the next ping.
func (p *peer) ping(ctx context.Context) (delay clock.Millis) {
	f := p.fleet
	sentAt := f.config.Clock.Now()
	request := p.newPing(sentAt)
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	answer, err := link.Call[ping, pong](callCtx, f.config.Link, link.Peer{Address: p.address}, message.FleetContact, request)
	cancel()
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return p.recordFailure(err)
	}
	p.recordAnswer(request, answer)
	f.recordFence(answer.Fence)
	p.recordWallTime(sentAt, answer)
	p.syncDrains(sentAt, answer)
	p.syncDocument(ctx, sentAt, answer)
	p.syncEndpoints(ctx, sentAt, answer)
	p.syncCrashes(ctx, answer)
	return p.delayAfterAnswer(request)
}

// syncCrashes exchanges what is known of crashes, unless the peer is of a release that does
// not.
func (p *peer) syncCrashes(ctx context.Context, answer pong) {
	p.recordFeature("Crashes", answer, answer.Crashes != nil)
	if answer.Crashes != nil {
		p.fleet.config.Crashes.Sync(ctx, p.address, *answer.Crashes)
	}
}

// recordFeature logs when the peer is found to lack a feature that it may have.
func (p *peer) recordFeature(feature string, answer pong, has bool) {
	if p.lacks[feature] == !has {
		return
	}
	p.lacks[feature] = !has
	if !has {
		eventPeerLacks.Log(p.fleet.config.Logger, logrus.Fields{"Peer": answer.VM.ID, "Address": p.address, "Build": answer.Build, "Feature": feature})
	}
}

func (p *peer) delayAfterAnswer(request ping) clock.Millis {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case p.isNewUpstream(request):
		return 0
	case f.newsIsLate:
		return latePingInterval
	}
	return pingInterval
}

// isNewUpstream reports whether this daemon has started to follow the peer, but the
// ping did not yet say so. The lock must be held.
func (p *peer) isNewUpstream(request ping) bool {
	f := p.fleet
	upstream, found := f.view.Upstream(f.config.Clock.Now())
	return found && upstream == p.address && !request.Subscribe
}

func (p *peer) newPing(now clock.Millis) ping {
	f := p.fleet
	fence := f.KnownFence()
	interval := listInterval
	if now-p.startedAt < startTime {
		interval = startListInterval
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	upstream, found := f.view.Upstream(now)
	return ping{
		VM: f.config.Self, Subscribe: found && upstream == p.address, Daemons: f.view.SubtreeSize(),
		WantList: p.listedAt == 0 || now-p.listedAt >= interval, Fence: fence,
	}
}

func (p *peer) recordAnswer(request ping, answer pong) {
	f := p.fleet
	now := f.config.Clock.Now()
	p.failures = 0
	if request.WantList {
		p.listedAt = now
	}
	f.mu.Lock()
	recovered := f.view.RecordAnswer(now, p.address, answer.VM, answer.Status)
	if answer.Upstream != nil {
		f.view.AddFollowed(now, *answer.Upstream)
	}
	for _, vm := range answer.VMs {
		f.view.Add(now, vm)
	}
	f.mu.Unlock()
	if !p.answered {
		p.answered = true
		eventPeerJoined.Log(f.config.Logger, logrus.Fields{"Peer": answer.VM.ID, "Address": p.address, "Build": answer.Build})
	}
	if recovered {
		eventPeerRegained.Log(f.config.Logger, logrus.Fields{"Peer": answer.VM.ID, "Address": p.address})
	}
}

func (p *peer) recordWallTime(sentAt clock.Millis, answer pong) {
	f := p.fleet
	correction := f.config.WallTime.RecordPeer(p.address, answer.Wall, sentAt, f.config.Clock.Now())
	if correction != 0 {
		eventTimeCorrected.Log(f.config.Logger, logrus.Fields{"Correction": int64(correction)})
	}
}

func (p *peer) recordFailure(err error) (delay clock.Millis) {
	f := p.fleet
	p.failures++
	f.mu.Lock()
	lost := f.view.RecordFailure(f.config.Clock.Now(), p.address)
	f.mu.Unlock()
	if lost {
		f.wakeUpstream()
		eventPeerLost.Log(f.config.Logger, logrus.Fields{"Address": p.address, "Error": err.Error()})
	}
	if p.failures%reconnectAfterFailures == 0 {
		f.config.Link.Disconnect(p.address)
	}
	if p.failures <= reconnectAfterFailures {
		return retryDelay
	}
	return failedInterval
}

// contacts returns the addresses of the daemons that this one pings, or is about to.
func (f *Fleet) contacts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Contacts(f.config.Clock.Now())
}

// upstreamVM returns the VM that this daemon follows, nil for a root. The lock must
// be held.
func (f *Fleet) upstreamVM(now clock.Millis) *topology.VM {
	vm, found := f.view.UpstreamVM(now)
	if !found {
		return nil
	}
	return &vm
}
