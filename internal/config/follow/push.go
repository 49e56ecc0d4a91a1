package follow

import (
	"context"
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/member"
)

// loopPush hands on what this daemon has read from the store, if it is a
// relay.
func (f *Follower) loopPush(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.pushNow:
		}
		if f.isRelay() {
			f.pushDomain(ctx, f.state.Sequence())
		}
	}
}

// pushDomain brings the members of the own failure domain to the sequence and
// returns those that have confirmed it, this daemon included.
func (f *Follower) pushDomain(ctx context.Context, sequence uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.PeerCallTimeout.Duration())
	defer cancel()
	return f.pushAll(ctx, member.InDomain(f.config.View(), f.config.FailureDomain), sequence)
}

// pushAll pushes to each of the members that is not known to have the sequence.
func (f *Follower) pushAll(ctx context.Context, members []member.Member, sequence uint64) []string {
	confirmed := &nameSet{}
	if f.state.Sequence() >= sequence {
		confirmed.add(f.config.ID)
	}
	var wg sync.WaitGroup
	for _, m := range members {
		if !m.Live() || m.ID == f.config.ID {
			continue
		}
		if f.sequenceOf(m.ID) >= sequence {
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
// daemons that confirmed it. It begins with the changes that the member is
// likely to lack; when it lacks more, a second push begins where it stands.
func (f *Follower) pushTo(ctx context.Context, m member.Member, sequence uint64, relay bool) []string {
	after := max(f.sequenceOf(m.ID), sequence-1)
	if relay {
		after = min(after, sequence-1)
	}
	for range 2 {
		changes, kept := f.recent.after(after)
		if !kept || len(changes) == 0 {
			return nil
		}
		reply, err := f.peers.Push(ctx, peerOf(m), Push{Changes: changes, Relay: relay})
		if err != nil {
			return nil
		}
		f.noteSequence(m.ID, reply.Sequence)
		if reply.Sequence >= sequence {
			return append(reply.Confirmed, m.ID)
		}
		after = reply.Sequence
	}
	return nil
}

func (f *Follower) sequenceOf(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sequences[id]
}

func (f *Follower) noteSequence(id string, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequences[id] = max(f.sequences[id], sequence)
}

// ServePush answers a peer's Push.
func (f *Follower) ServePush(ctx context.Context, from string, push Push) (PushReply, error) {
	if _, err := f.apply(push.Changes); err != nil {
		// What is missing comes with the next check.
		signal(f.checkNow)
	}
	reply := PushReply{Sequence: f.state.Sequence()}
	if len(push.Changes) == 0 {
		return reply, nil
	}
	last := push.Changes[len(push.Changes)-1].Sequence
	f.noteSequence(from, last)
	if push.Relay && reply.Sequence >= last {
		reply.Confirmed = f.pushDomain(ctx, last)
	}
	return reply, nil
}

// spread brings the change to all live daemons, through one relay of each
// failure domain, and returns those that confirmed it.
func (f *Follower) spread(ctx context.Context, sequence uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.ConfirmTimeout.Duration())
	defer cancel()
	view := f.config.View()
	confirmed := &nameSet{}
	confirmed.add(f.config.ID)
	var wg sync.WaitGroup
	for _, domain := range member.Domains(view) {
		wg.Go(func() {
			confirmed.add(f.spreadDomain(ctx, view, domain, sequence)...)
		})
	}
	wg.Wait()
	return confirmed.sorted()
}

func (f *Follower) spreadDomain(ctx context.Context, view []member.Member, domain string, sequence uint64) []string {
	if domain == f.config.FailureDomain {
		return f.pushDomain(ctx, sequence)
	}
	for _, relay := range relays(view, domain) {
		calling, cancel := context.WithTimeout(ctx, 2*f.config.Timing.PeerCallTimeout.Duration())
		confirmed := f.pushTo(calling, relay, sequence, true)
		cancel()
		if len(confirmed) > 0 {
			return confirmed
		}
	}
	return f.pushAll(ctx, member.InDomain(view, domain), sequence)
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
