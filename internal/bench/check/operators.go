package check

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// rivals is how many operators race, and inForce when an accepted change has
// to be in force everywhere.
const (
	rivals  = 3
	inForce = 9 * clock.Second
)

// racingOperators lets operators create the same team at the same time,
// through different daemons, and looks who won and whether all daemons agree.
func racingOperators(ctx context.Context, s *strike) error {
	name := fmt.Sprintf("race-%d", s.next())
	race := verdict.Race{Entity: "team " + name}
	accepted := make([]bool, rivals)
	var wg sync.WaitGroup
	for i := range rivals {
		d := s.pick(s.random, false)
		if d == nil {
			return errNoDaemon
		}
		wg.Go(func() { accepted[i] = s.create(ctx, d, name, i) })
	}
	wg.Wait()
	winner := -1
	for i, won := range accepted {
		if won {
			race.Accepted++
			winner = i
		}
	}
	s.say("%d of %d accepted", race.Accepted, rivals)
	if race.Accepted == 1 {
		_ = s.rig.Clock.Sleep(ctx, inForce)
		race.DivergentDaemons = s.differing(ctx, name, winner)
	}
	s.record(func(in *verdict.Input) { in.Races = append(in.Races, race) })
	return nil
}

// scale changes how many endpoints of the model's back end have to run, so
// that the lease holder has orders to give.
func scale(ctx context.Context, s *strike) (err error) {
	d := s.pick(s.random, false)
	if d == nil {
		return errNoDaemon
	}
	wanted := s.rig.Scenario.Backends[0]
	least := wanted.MinEndpoints + s.random.IntN(wanted.MaxEndpoints-wanted.MinEndpoints)
	number := s.next()
	defer func() { s.say("at least %d endpoints of %s: %v", least, wanted.Name, err) }()
	return s.rig.WithOperator(d, func(o *rig.Operator) error {
		backends := operatorv1.NewBackendsClient(o.Conn())
		return s.rig.RetryCall(ctx, o, func(ctx context.Context) error {
			backend, err := backends.Get(ctx, &operatorv1.GetRequest{Name: wanted.Name})
			if err != nil {
				return err
			}
			backend.MinEndpoints = int32(least)
			request := &operatorv1.PutBackendRequest{
				RequestID: fmt.Sprintf("scale-%d", number), ExpectedRevision: backend.GetRevision(), Backend: backend,
			}
			_, err = backends.Put(ctx, request)
			return err
		})
	})
}

func weightOf(rival int) int32 {
	return int32(rival) + 1
}

// create reports whether the change of one rival was accepted.
func (s *strike) create(ctx context.Context, d *rig.Daemon, name string, rival int) bool {
	won := false
	err := s.rig.WithOperator(d, func(o *rig.Operator) error {
		request := &operatorv1.PutTeamRequest{
			RequestID: fmt.Sprintf("%s-%d", name, rival),
			Team:      &operatorv1.Team{Name: name, Weight: weightOf(rival)},
		}
		return s.rig.RetryCall(ctx, o, func(ctx context.Context) error {
			response, err := operatorv1.NewTeamsClient(o.Conn()).Put(ctx, request)
			won = err == nil && !response.GetPending()
			return err
		})
	})
	if err != nil && status.Code(err) != codes.Aborted {
		s.say("through %s: %v", d.ID, err)
	}
	return won
}

// differing returns the daemons that answer with another team than the
// winner's.
func (s *strike) differing(ctx context.Context, name string, winner int) []string {
	var result []string
	for _, d := range s.rig.ActiveDaemons() {
		if s.taken(d) || !s.rig.Balancer.IsReady(d.ID) {
			continue
		}
		var team *operatorv1.Team
		err := s.rig.WithOperator(d, func(o *rig.Operator) (err error) {
			attempt, cancel := context.WithTimeout(o.Context(ctx), (2 * clock.Second).Duration())
			defer cancel()
			team, err = operatorv1.NewTeamsClient(o.Conn()).Get(attempt, &operatorv1.GetRequest{Name: name})
			return err
		})
		switch status.Code(err) {
		case codes.OK:
			if team.GetWeight() != weightOf(winner) {
				result = append(result, d.ID)
			}
		case codes.NotFound:
			result = append(result, d.ID)
		}
	}
	return result
}

func (c *checker) taken(d *rig.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy[d.ID]
}
