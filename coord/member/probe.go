package member

import (
	"github.com/banyanshift/banyanshift/coord/clock"
)

// Tick declares suspects dead that did not refute in time, and returns the
// probes to send now. The caller calls it once per Timing.ProbeInterval.
func (v *View) Tick(now clock.Millis) []Action {
	v.extendDeadlinesAfterPause(now)
	v.expireSuspicions(now)
	count := 1
	if now < v.searchUntil {
		count = searchProbeCount
	}
	var actions []Action
	for range count {
		if target := v.nextTarget(now); target != nil {
			actions = append(actions, v.probe(target))
		}
	}
	return actions
}

func (v *View) probe(target *memberRecord) Action {
	v.lastProbeNumber++
	v.probes[v.lastProbeNumber] = &pendingProbe{target: target.ID}
	return Action{Number: v.lastProbeNumber, Target: target.Member, Probe: v.newProbe(target)}
}

// extendDeadlinesAfterPause extends the deadlines of suspects by the time for
// which this process was paused, since it received no refutations then.
func (v *View) extendDeadlinesAfterPause(now clock.Millis) {
	gap := now - v.lastTick
	v.lastTick = now
	if gap <= minPauseIntervals*v.config.Timing.ProbeInterval {
		return
	}
	for _, e := range v.members {
		if e.State == Suspect {
			e.deadline += gap
		}
	}
}

// expireSuspicions declares the suspects dead whose deadline has passed.
func (v *View) expireSuspicions(now clock.Millis) {
	for _, e := range v.sorted {
		if e.State != Suspect || now < e.deadline {
			continue
		}
		if e.inferred {
			v.setInferred(now, e, Dead)
			continue
		}
		v.changeState(now, e, Dead, e.Incarnation)
	}
}

// setInferred sets a state that is inferred from an unresponsive failure domain.
func (v *View) setInferred(now clock.Millis, e *memberRecord, state State) {
	v.setState(now, e, state, e.Incarnation)
	e.inferred = true
}

// nextTarget returns the member to probe next. It alternates between this
// process's own failure domain and the others, and with a probability of
// 1/probesPerDeadProbe returns a dead member that is still listed.
func (v *View) nextTarget(now clock.Millis) *memberRecord {
	if v.config.Rand.IntN(probesPerDeadProbe) == 0 {
		if dead := v.pickDead(now); dead != nil {
			return dead
		}
	}
	v.probeRemote = !v.probeRemote
	if target := v.nextLive(now, v.probeRemote); target != nil {
		return target
	}
	return v.nextLive(now, !v.probeRemote)
}

// pickDead returns a random listed dead member of the failure domain with the
// oldest contact.
func (v *View) pickDead(now clock.Millis) *memberRecord {
	var dead []*memberRecord
	for _, e := range v.sorted {
		if e.State != Dead || !e.listed {
			continue
		}
		if len(dead) > 0 {
			oldest, this := dead[0].domain.lastContact, e.domain.lastContact
			if this > oldest {
				continue
			}
			if this < oldest {
				dead = dead[:0]
			}
		}
		dead = append(dead, e)
	}
	if len(dead) == 0 {
		return nil
	}
	chosen := dead[v.config.Rand.IntN(len(dead))]
	chosen.domain.lastContact = now
	return chosen
}

// domainOf returns the state of the named failure domain and creates it if
// needed.
func (v *View) domainOf(name string) *domainState {
	d := v.domains[name]
	if d == nil {
		d = &domainState{}
		v.domains[name] = d
	}
	return d
}

// nextLive returns the next live member of this process's failure domain or, if
// remote, of the other domain with the oldest contact.
func (v *View) nextLive(now clock.Millis, remote bool) *memberRecord {
	var chosen *domainState
	for _, e := range v.sorted {
		if !e.Live() || (e.FailureDomain != v.self.FailureDomain) != remote {
			continue
		}
		if chosen == nil || e.domain.lastContact < chosen.lastContact {
			chosen = e.domain
		}
	}
	if chosen == nil {
		return nil
	}
	chosen.lastContact = now
	return v.nextInDomain(chosen)
}

// nextInDomain cycles through the live members of the domain, in a new random
// order each round.
func (v *View) nextInDomain(d *domainState) *memberRecord {
	for range 2 {
		for len(d.probeQueue) > 0 {
			id := d.probeQueue[0]
			d.probeQueue = d.probeQueue[1:]
			if e := v.members[id]; e != nil && e.Live() {
				return e
			}
		}
		for _, e := range v.sorted {
			if e.Live() && e.domain == d {
				d.probeQueue = append(d.probeQueue, e.ID)
			}
		}
		v.config.Rand.Shuffle(len(d.probeQueue), func(i, j int) { d.probeQueue[i], d.probeQueue[j] = d.probeQueue[j], d.probeQueue[i] })
	}
	return nil
}

// markResponsive records contact with a member of the domain and sets the members
// that were suspected with the whole domain back to Alive.
func (v *View) markResponsive(now clock.Millis, failureDomain string) {
	d := v.domainOf(failureDomain)
	d.lastContact = now
	if !d.unresponsive {
		return
	}
	d.unresponsive = false
	for _, e := range v.sorted {
		if e.inferred && e.FailureDomain == failureDomain {
			v.setState(now, e, Alive, e.Incarnation)
		}
	}
}

// suspectDomain marks a domain as unresponsive and its alive members as suspect.
func (v *View) suspectDomain(now clock.Millis, failureDomain string) {
	v.domainOf(failureDomain).unresponsive = true
	v.searchUntil = now + searchPeriod
	for _, e := range v.sorted {
		if e.State == Alive && e.FailureDomain == failureDomain {
			v.setInferred(now, e, Suspect)
		}
	}
}

func (v *View) selfStatus() Status {
	return Status{State: v.self.State, Incarnation: v.self.Incarnation}
}

// assumedStatus returns the status that this view assumes for the member, so that
// the member can refute it. It is empty if the member is alive or its state is
// only inferred.
func assumedStatus(e *memberRecord) Status {
	if e == nil || e.State == Alive || e.inferred {
		return Status{}
	}
	return Status{State: e.State, Incarnation: e.Incarnation}
}

func (v *View) newProbe(target *memberRecord) Probe {
	return Probe{Self: v.selfStatus(), You: assumedStatus(target), News: v.takeUpdates()}
}

// OnProbe handles a probe from the member with the given ID, and returns the ack.
func (v *View) OnProbe(now clock.Millis, from string, probe Probe) Ack {
	v.mergeAll(now, probe.News)
	v.merge(now, Member{ID: from, State: probe.Self.State, Incarnation: probe.Self.Incarnation})
	v.merge(now, Member{ID: v.self.ID, State: probe.You.State, Incarnation: probe.You.Incarnation})
	sender := v.members[from]
	if sender != nil {
		v.markResponsive(now, sender.FailureDomain)
	}
	return Ack{Self: v.selfStatus(), You: assumedStatus(sender), News: v.takeUpdates(), Unknown: sender == nil}
}

func (v *View) mergeAll(now clock.Millis, updates []Member) {
	for _, m := range updates {
		v.merge(now, m)
	}
}

// OnAck handles the ack of a probe. The first ack of a probe suffices; further
// ones do no harm. If the target does not know this process, OnAck returns a
// probe that introduces it.
func (v *View) OnAck(now clock.Millis, action Action, ack Ack) []Action {
	if action.Via != nil {
		v.markResponsive(now, action.Via.FailureDomain)
	} else {
		v.markResponsive(now, action.Target.FailureDomain)
	}
	delete(v.probes, action.Number)
	v.mergeAll(now, ack.News)
	v.merge(now, Member{ID: action.Target.ID, State: ack.Self.State, Incarnation: ack.Self.Incarnation})
	v.merge(now, Member{ID: v.self.ID, State: ack.You.State, Incarnation: ack.You.Incarnation})
	e := v.members[action.Target.ID]
	if e != nil && e.inferred {
		v.setState(now, e, Alive, e.Incarnation)
	}
	if e == nil || !ack.Unknown || action.introduces {
		return nil
	}
	introduction := v.probe(e)
	introduction.introduces = true
	introduction.Probe.News = []Member{v.self}
	return []Action{introduction}
}

// OnFailed handles a probe that got no ack; viaResponded means that the helper
// responded but the target did not. After a direct probe it returns probes
// through helpers. When the last of those has failed, the target is suspected,
// or its whole failure domain if no helper there responded either.
func (v *View) OnFailed(now clock.Millis, action Action, viaResponded bool) []Action {
	if action.Via != nil && viaResponded {
		v.markResponsive(now, action.Via.FailureDomain)
	}
	probe := v.probes[action.Number]
	if probe == nil {
		return nil
	}
	target := v.members[probe.target]
	if target == nil || !target.Live() {
		delete(v.probes, action.Number)
		return nil
	}
	if action.Via == nil {
		actions := v.probeViaHelpers(action.Number, target, probe)
		probe.pendingHelpers = len(actions)
		if len(actions) > 0 {
			return actions
		}
	} else {
		probe.pendingHelpers--
		probe.domainResponded = probe.domainResponded || viaResponded && action.Via.FailureDomain == target.FailureDomain
	}
	if probe.pendingHelpers == 0 {
		delete(v.probes, action.Number)
		v.suspect(now, target, probe)
	}
	return nil
}

// suspect handles a target for which all probes failed. It suspects the target, or
// its whole failure domain if no helper there responded and the domain has helpers
// or was already unresponsive.
func (v *View) suspect(now clock.Millis, target *memberRecord, probe *pendingProbe) {
	unresponsive := target.domain.unresponsive
	if unresponsive && !probe.domainResponded || probe.domainHelperUsed && !probe.domainResponded {
		v.suspectDomain(now, target.FailureDomain)
		return
	}
	if target.State == Alive || target.inferred {
		v.changeState(now, target, Suspect, target.Incarnation)
	}
}

// probeViaHelpers returns probes of the target through up to maxHelpers members:
// first of the target's failure domain, then of other domains, then of this
// process's own.
func (v *View) probeViaHelpers(number uint64, target *memberRecord, probe *pendingProbe) []Action {
	var inTargetDomain, inOwnDomain, elsewhere []*memberRecord
	for _, e := range v.sorted {
		switch {
		case e == target || !e.Live():
		case e.FailureDomain == target.FailureDomain:
			inTargetDomain = append(inTargetDomain, e)
		case e.FailureDomain == v.self.FailureDomain:
			inOwnDomain = append(inOwnDomain, e)
		case !e.domain.unresponsive:
			elsewhere = append(elsewhere, e)
		}
	}
	chosen := v.sample(inTargetDomain, maxHelpersInDomain)
	probe.domainHelperUsed = len(chosen) > 0
	chosen = append(chosen, v.sample(elsewhere, maxHelpers-len(chosen))...)
	chosen = append(chosen, v.sample(inOwnDomain, maxHelpers-len(chosen))...)
	actions := make([]Action, 0, len(chosen))
	for _, helper := range chosen {
		via := helper.Member
		actions = append(actions, Action{Number: number, Target: target.Member, Via: &via, Probe: v.newProbe(target)})
	}
	return actions
}

// sample returns up to n random members of the group.
func (v *View) sample(group []*memberRecord, n int) []*memberRecord {
	v.config.Rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	return group[:max(0, min(n, len(group)))]
}
