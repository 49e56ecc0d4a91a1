// Package member keeps a view of which processes of a fleet are alive, by
// probing a few of them each second, and picks members for tasks from it.
//
// A view is advice: two members may see different views at any time, and for
// minutes while a network is cut. Whatever must never happen twice is guarded
// elsewhere, by a lease or a conditional transaction.
//
// Each member probes one other at each interval, by turns of its own failure
// domain and of the one that was not heard for longest. When a probe fails,
// helpers in the target's domain and elsewhere probe it too, so that a cut
// between two domains is not taken for a death. When they fail as well the
// target is suspected; that spreads, and the target refutes it with a greater
// incarnation or is declared dead. Changes travel within probes and their
// answers, within a budget of bytes.
//
// When no helper in the target's domain answers either, the whole domain is
// suspected. That is not spread: every member finds out by itself, in one probe
// for each domain, and takes all of it back at the first sign of life. So the
// loss and the return of a region cost no storm of news. The platform's list of VMs names members to begin with and keeps the
// dead ones known, which are probed now and then, so that the two sides of a
// network that was cut find each other again.
//
// The view is a pure state machine: it does no input or output, and takes the
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
