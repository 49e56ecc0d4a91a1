package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/drain"
)

// drainState is a drain.State in the answer to a ping, if Known. Age is the time since it was
// certainly current.
type drainState struct {
	Known    bool
	Domains  []string
	Lost     []drain.Lost
	Position table.Position
	Age      clock.Millis
}

func newDrainState(state drain.State, now clock.Millis) *drainState {
	return &drainState{Known: true, Domains: state.Domains, Lost: state.Lost, Position: state.Position, Age: now - state.AsOf}
}

// state returns the State in the answer to a call that was sent at a time.
func (s *drainState) state(sentAt clock.Millis) drain.State {
	return drain.State{Domains: s.Domains, Lost: s.Lost, Position: s.Position, AsOf: sentAt - s.Age}
}

// syncDrains takes over what a peer knows of drained failure domains.
func (p *peer) syncDrains(sentAt clock.Millis, answer pong) {
	f := p.fleet
	p.recordFeature("Drains", answer, answer.Drains != nil)
	if answer.Drains == nil || !answer.Drains.Known {
		return
	}
	now := f.config.Clock.Now()
	if f.config.Drains.Update(now, answer.Drains.state(sentAt)) {
		eventDrainsFetched.Log(f.config.Logger, logrus.Fields{"Domains": f.config.Drains.Domains(now), "Peer": p.address, "Age": int64(answer.Drains.Age)})
		f.announce(nil)
	}
}
