// Package member keeps a view of which processes of a fleet are alive, by
// probing a few of them each second, and picks members for tasks from it.
//
// A view is only advice: at any time, two members may have different views, for
// minutes during a network partition. Whatever must never happen twice is
// guarded elsewhere, by a lease or a conditional transaction.
//
// At each interval a member probes one other member, alternating between its
// own failure domain and the other domain with the oldest contact. When a probe
// fails, helpers in the target's domain and elsewhere probe the target too, so
// that a broken link between two domains does not count as a failure of the
// target. When they fail as well, the target becomes suspect. The suspicion is
// gossiped, and the target either refutes it with a greater incarnation or is
// declared dead. Updates travel in probes and acks, within a budget of bytes.
//
// When no helper in the target's domain answers either, the whole domain is
// suspected. This is not gossiped: every member finds out by itself, with one
// probe per domain, and reverts it as soon as any member of the domain
// responds. So the loss and the return of a region cause no surge of updates.
//
// The platform's list of VMs supplies the initial members and keeps dead members
// known. Dead members are probed now and then, so that the two sides of a
// network partition find each other again when it heals.
//
// The view is a pure state machine: it does no input or output, and is given the
// time and a source of randomness.
//
// # Usage
//
//	view := member.New(member.Config{Self: self, Timing: member.DefaultTiming(), Rand: rng})
//	view.OnList(now, listed)
//	for each interval {
//		for _, action := range view.Tick(now) {
//			// send action.Probe to action.Target, through action.Via if set,
//			// then call view.OnAck or view.OnFailed and send what they return
//		}
//	}
//	// for each probe received:
//	ack := view.OnProbe(now, from, probe)
//
//	brokers := member.Pick(view.Members(), "cell/7", 2)
package member
