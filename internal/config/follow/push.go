package follow

import (
	"context"
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/member"
)

// loopPush pushes changes that this daemon has read from the store to its
// failure domain, if it is a relay.
func (f *Follower) loopPush(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.pushNow:
		}
		if f.isRelay() {
			f.pushToDomain(ctx, f.state.Sequence())
		}
	}
}

// pushToDomain pushes the changes up to the sequence to the members of this
// failure domain. It returns the daemons that are known to have applied the
// sequence, including this one.
func (f *Follower) pushToDomain(ctx context.Context, sequence uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.PeerCallTimeout.Duration())
	defer cancel()
	return f.pushToMembers(ctx, member.InDomain(f.config.View(), f.config.FailureDomain), sequence)
}

// pushToMembers pushes the changes up to the sequence to those live members
// that are not known to have applied it. It returns the daemons that have.
func (f *Follower) pushToMembers(ctx context.Context, members []member.Member, sequence uint64) []string {
	confirmed := &nameSet{}
	if f.state.Sequence() >= sequence {
		confirmed.add(f.config.ID)
	}
	var wg sync.WaitGroup
	for _, m := range members {
		if !m.Live() || m.ID == f.config.ID {
			continue
		}
		if f.peerSequence(m.ID) >= sequence {
			confirmed.add(m.ID)
			continue
		}
		wg.Go(func() {
			confirmed.add(f.pushTo(ctx, m, sequence, false)...)
		})
	}
	wg.Wait()
	return confirmed.sorted()
}

// pushTo pushes the changes up to the sequence to one member and returns the
// daemons that confirmed it. The first push starts after the sequence that the
// member is assumed to have. If the member lacks more, a second push starts
// after the sequence in its reply.
func (f *Follower) pushTo(ctx context.Context, m member.Member, sequence uint64, relay bool) []string {
	after := max(f.peerSequence(m.ID), sequence-1)
	if relay {
		after = min(after, sequence-1)
	}
	for range 2 {
		changes, kept := f.recent.changesAfter(after)
		if !kept || len(changes) == 0 {
			return nil
		}
		reply, err := f.peers.Push(ctx, peerOf(m), Push{Changes: changes, Relay: relay})
		if err != nil {
			return nil
		}
		f.recordSequence(m.ID, reply.Sequence)
		if reply.Sequence >= sequence {
			return append(reply.Confirmed, m.ID)
		}
		after = reply.Sequence
	}
	return nil
}

func (f *Follower) peerSequence(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerSequences[id]
}

func (f *Follower) recordSequence(id string, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerSequences[id] = max(f.peerSequences[id], sequence)
}

// ServePush handles a peer's Push.
func (f *Follower) ServePush(ctx context.Context, from string, push Push) (PushReply, error) {
	if _, err := f.apply(push.Changes); err != nil {
		// The next check delivers the missing changes.
		signal(f.checkNow)
	}
	reply := PushReply{Sequence: f.state.Sequence()}
	if len(push.Changes) == 0 {
		return reply, nil
	}
	last := push.Changes[len(push.Changes)-1].Sequence
	f.recordSequence(from, last)
	if push.Relay && reply.Sequence >= last {
		reply.Confirmed = f.pushToDomain(ctx, last)
	}
	return reply, nil
}

// distribute pushes the changes up to the sequence to all live daemons, through
// one relay of each other failure domain, and returns those that confirmed it.
func (f *Follower) distribute(ctx context.Context, sequence uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.ConfirmTimeout.Duration())
	defer cancel()
	view := f.config.View()
	confirmed := &nameSet{}
	confirmed.add(f.config.ID)
	var wg sync.WaitGroup
	for _, domain := range member.Domains(view) {
		wg.Go(func() {
			confirmed.add(f.distributeToDomain(ctx, view, domain, sequence)...)
		})
	}
	wg.Wait()
	return confirmed.sorted()
}

func (f *Follower) distributeToDomain(ctx context.Context, view []member.Member, domain string, sequence uint64) []string {
	if domain == f.config.FailureDomain {
		return f.pushToDomain(ctx, sequence)
	}
	for _, relay := range relays(view, domain) {
		callCtx, cancel := context.WithTimeout(ctx, 2*f.config.Timing.PeerCallTimeout.Duration())
		confirmed := f.pushTo(callCtx, relay, sequence, true)
		cancel()
		if len(confirmed) > 0 {
			return confirmed
		}
	}
	return f.pushToMembers(ctx, member.InDomain(view, domain), sequence)
}

// nameSet collects names from several goroutines.
type nameSet struct {
	mu    sync.Mutex
	names []string
}

func (s *nameSet) add(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = append(s.names, names...)
}

func (s *nameSet) sorted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.names)
	s.names = slices.Compact(s.names)
	return slices.Clone(s.names)
}
