package follow

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
)

// apply applies changes in order and returns how many of them were new. It
// skips changes that are already applied and stops with an error at a gap.
func (f *Follower) apply(changes []changelog.Change) (applied int, err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	for _, change := range changes {
		before := f.state.Sequence()
		if err := f.state.Apply(change); err != nil {
			return applied, err
		}
		if f.state.Sequence() == before {
			continue
		}
		applied++
		f.recent.add(change)
		f.settle(change.RequestID, true)
	}
	metricSequence.Set(int64(f.state.Sequence()))
	return applied, nil
}

// loadSnapshot replaces the state with a snapshot, unless the state is newer.
func (f *Follower) loadSnapshot(snapshot changelog.Snapshot) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	err := f.state.LoadSnapshot(snapshot)
	metricSequence.Set(int64(f.state.Sequence()))
	return err
}

func (f *Follower) logUnusable(err error) {
	eventUnusable.Log(f.config.Logger, logrus.Fields{"Sequence": f.state.Sequence(), "Error": err.Error()})
}
