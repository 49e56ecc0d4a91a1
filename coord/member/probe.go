package member

import (
	"github.com/banyanshift/banyanshift/coord/clock"
)

// Tick declares members dead whose time to refute is over, and returns the
// probes to send now. It is called at each Timing.ProbeInterval.
func (v *View) Tick(now clock.Millis) []Action {
	v.forgivePause(now)
	v.bury(now)
	count := 1
	if now < v.searching {
		count = searchProbes
	}
	var actions []Action
	for range count {
		if target := v.nextTarget(now); target != nil {
			actions = append(actions, v.probe(target))
		}
	}
	return actions
}

func (v *View) probe(target *entry) Action {
	v.number++
	v.probes[v.number] = &outstanding{target: target.ID}
	return Action{Number: v.number, Target: target.Member, Probe: v.probeFor(target)}
}

// forgivePause puts deadlines off by the time for which this process did not
// run: it could not hear refutations then.
func (v *View) forgivePause(now clock.Millis) {
	gap := now - v.lastTick
	v.lastTick = now
	if gap <= pauseIntervals*v.config.Timing.ProbeInterval {
		return
	}
	for _, e := range v.members {
		if e.State == Suspect {
			e.deadline += gap
		}
	}
}

func (v *View) bury(now clock.Millis) {
	for _, e := range v.order {
		if e.State != Suspect || now < e.deadline {
			continue
		}
		if e.inferred {
			v.infer(now, e, Dead)
			continue
		}
		v.change(now, e, Dead, e.Incarnation)
	}
}

// infer sets a state that follows from the silence of the failure domain.
func (v *View) infer(now clock.Millis, e *entry, state State) {
	v.set(now, e, state, e.Incarnation)
	e.inferred = true
}

// nextTarget returns the member to probe: by turns one of the own failure
// domain and one of the others, and now and then a dead one that is listed.
func (v *View) nextTarget(now clock.Millis) *entry {
	if v.config.Rand.IntN(deadOneIn) == 0 {
		if dead := v.someDead(now); dead != nil {
			return dead
		}
	}
	v.far = !v.far
	if target := v.nextOf(now, v.far); target != nil {
		return target
	}
	return v.nextOf(now, !v.far)
}

// someDead returns a dead member of the failure domain that was not touched
// for longest.
func (v *View) someDead(now clock.Millis) *entry {
	var dead []*entry
	for _, e := range v.order {
		if e.State != Dead || !e.listed {
			continue
		}
		if len(dead) > 0 {
			oldest, this := dead[0].domain.touched, e.domain.touched
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
	chosen.domain.touched = now
	return chosen
}

func (v *View) domain(name string) *domain {
	d := v.domains[name]
	if d == nil {
		d = &domain{}
		v.domains[name] = d
	}
	return d
}

// nextOf returns the next live member of the own failure domain or, if far, of
// the other domain that was not touched for longest.
func (v *View) nextOf(now clock.Millis, far bool) *entry {
	var chosen *domain
	for _, e := range v.order {
		if !e.Live() || (e.FailureDomain != v.self.FailureDomain) != far {
			continue
		}
		if chosen == nil || e.domain.touched < chosen.touched {
			chosen = e.domain
		}
	}
	if chosen == nil {
		return nil
	}
	chosen.touched = now
	return v.nextInDomain(chosen)
}

// nextInDomain goes through the members of the domain in rounds of random
// order.
func (v *View) nextInDomain(d *domain) *entry {
	for range 2 {
		for len(d.turns) > 0 {
			id := d.turns[0]
			d.turns = d.turns[1:]
			if e := v.members[id]; e != nil && e.Live() {
				return e
			}
		}
		for _, e := range v.order {
			if e.Live() && e.domain == d {
				d.turns = append(d.turns, e.ID)
			}
		}
		v.config.Rand.Shuffle(len(d.turns), func(i, j int) { d.turns[i], d.turns[j] = d.turns[j], d.turns[i] })
	}
	return nil
}

// heard notes that a member of the domain was heard. What its silence implied
// is taken back.
func (v *View) heard(now clock.Millis, failureDomain string) {
	d := v.domain(failureDomain)
	d.touched = now
	if !d.silent {
		return
	}
	d.silent = false
	for _, e := range v.order {
		if e.inferred && e.FailureDomain == failureDomain {
			v.set(now, e, Alive, e.Incarnation)
		}
	}
}

// silence suspects all members of a domain of which nobody answers.
func (v *View) silence(now clock.Millis, failureDomain string) {
	v.domain(failureDomain).silent = true
	v.searching = now + searchPeriod
	for _, e := range v.order {
		if e.State == Alive && e.FailureDomain == failureDomain {
			v.infer(now, e, Suspect)
		}
	}
}

func (v *View) brief() Status {
	return Status{State: v.self.State, Incarnation: v.self.Incarnation}
}

// believed returns what a member should know is said of it.
func believed(e *entry) Status {
	if e == nil || e.State == Alive || e.inferred {
		return Status{}
	}
	return Status{State: e.State, Incarnation: e.Incarnation}
}

func (v *View) probeFor(target *entry) Probe {
	return Probe{Self: v.brief(), You: believed(target), News: v.takeNews()}
}

// OnProbe answers a probe of the member from.
func (v *View) OnProbe(now clock.Millis, from string, probe Probe) Ack {
	v.mergeAll(now, probe.News)
	v.merge(now, Member{ID: from, State: probe.Self.State, Incarnation: probe.Self.Incarnation})
	v.merge(now, Member{ID: v.self.ID, State: probe.You.State, Incarnation: probe.You.Incarnation})
	sender := v.members[from]
	if sender != nil {
		v.heard(now, sender.FailureDomain)
	}
	return Ack{Self: v.brief(), You: believed(sender), News: v.takeNews(), Unknown: sender == nil}
}

func (v *View) mergeAll(now clock.Millis, news []Member) {
	for _, m := range news {
		v.merge(now, m)
	}
}

// OnAck reports the answer to a probe. Only the first answer to a probe is
// needed; others do no harm. To a member that does not know this process it
// returns a probe that introduces it.
func (v *View) OnAck(now clock.Millis, action Action, ack Ack) []Action {
	if action.Via != nil {
		v.heard(now, action.Via.FailureDomain)
	} else {
		v.heard(now, action.Target.FailureDomain)
	}
	delete(v.probes, action.Number)
	v.mergeAll(now, ack.News)
	v.merge(now, Member{ID: action.Target.ID, State: ack.Self.State, Incarnation: ack.Self.Incarnation})
	v.merge(now, Member{ID: v.self.ID, State: ack.You.State, Incarnation: ack.You.Incarnation})
	e := v.members[action.Target.ID]
	if e != nil && e.inferred {
		v.set(now, e, Alive, e.Incarnation)
	}
	if e == nil || !ack.Unknown || action.introduces {
		return nil
	}
	introduction := v.probe(e)
	introduction.introduces = true
	introduction.Probe.News = []Member{v.self}
	return []Action{introduction}
}

// OnFailed reports that a probe was not answered; viaAnswered says that the
// helper did answer, but not the target. After the direct probe it returns
// probes through helpers. After the last of those the target is suspected, or
// its whole failure domain if no helper there has answered either.
func (v *View) OnFailed(now clock.Millis, action Action, viaAnswered bool) []Action {
	if action.Via != nil && viaAnswered {
		v.heard(now, action.Via.FailureDomain)
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
		actions := v.askHelpers(action.Number, target, probe)
		probe.indirect = len(actions)
		if len(actions) > 0 {
			return actions
		}
	} else {
		probe.indirect--
		probe.domainAnswered = probe.domainAnswered || viaAnswered && action.Via.FailureDomain == target.FailureDomain
	}
	if probe.indirect == 0 {
		delete(v.probes, action.Number)
		v.suspect(now, target, probe)
	}
	return nil
}

func (v *View) suspect(now clock.Millis, target *entry, probe *outstanding) {
	silent := target.domain.silent
	if silent && !probe.domainAnswered || probe.domainAsked && !probe.domainAnswered {
		v.silence(now, target.FailureDomain)
		return
	}
	if target.State == Alive || target.inferred {
		v.change(now, target, Suspect, target.Incarnation)
	}
}

// askHelpers picks helpers in the target's failure domain and elsewhere,
// outside of the own domain if possible.
func (v *View) askHelpers(number uint64, target *entry, probe *outstanding) []Action {
	var inTarget, inOwn, elsewhere []*entry
	for _, e := range v.order {
		switch {
		case e == target || !e.Live():
		case e.FailureDomain == target.FailureDomain:
			inTarget = append(inTarget, e)
		case e.FailureDomain == v.self.FailureDomain:
			inOwn = append(inOwn, e)
		case !e.domain.silent:
			elsewhere = append(elsewhere, e)
		}
	}
	chosen := v.draw(inTarget, helpersInDomain)
	probe.domainAsked = len(chosen) > 0
	chosen = append(chosen, v.draw(elsewhere, helpers-len(chosen))...)
	chosen = append(chosen, v.draw(inOwn, helpers-len(chosen))...)
	actions := make([]Action, 0, len(chosen))
	for _, helper := range chosen {
		via := helper.Member
		actions = append(actions, Action{Number: number, Target: target.Member, Via: &via, Probe: v.probeFor(target)})
	}
	return actions
}

// draw returns up to n random entries of the group.
func (v *View) draw(group []*entry, n int) []*entry {
	v.config.Rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	return group[:max(0, min(n, len(group)))]
}
