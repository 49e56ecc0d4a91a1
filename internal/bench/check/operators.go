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

// operatorCount is the number of racing operators. An accepted change must be
// in force on every daemon within propagationTime.
const (
	operatorCount   = 3
	propagationTime = 9 * clock.Second
)

// racingOperators creates the same team concurrently as several operators, each
// through a randomly picked daemon. It records how many were accepted and which
// daemons do not have the accepted value.
func racingOperators(ctx context.Context, s *injection) error {
	name := fmt.Sprintf("race-%d", s.nextNumber())
	race := verdict.Race{Entity: "team " + name}
	accepted := make([]bool, operatorCount)
	var wg sync.WaitGroup
	for i := range operatorCount {
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
	s.logf("%d of %d accepted", race.Accepted, operatorCount)
	if race.Accepted == 1 {
		_ = s.rig.Clock.Sleep(ctx, propagationTime)
		race.DivergentDaemons = s.disagreeingDaemons(ctx, name, winner)
	}
	s.updateInput(func(in *verdict.Input) { in.Races = append(in.Races, race) })
	return nil
}

// scale changes the minimum number of endpoints of the model's back end, so that
// the lease holder has to send orders.
func scale(ctx context.Context, s *injection) (err error) {
	d := s.pick(s.random, false)
	if d == nil {
		return errNoDaemon
	}
	wanted := s.rig.Scenario.Backends[0]
	minEndpoints := wanted.MinEndpoints + s.random.IntN(wanted.MaxEndpoints-wanted.MinEndpoints)
	number := s.nextNumber()
	defer func() { s.logf("at least %d endpoints of %s: %v", minEndpoints, wanted.Name, err) }()
	return s.rig.WithOperator(d, func(o *rig.Operator) error {
		backends := operatorv1.NewBackendsClient(o.Conn())
		return s.rig.RetryCall(ctx, o, func(ctx context.Context) error {
			backend, err := backends.Get(ctx, &operatorv1.GetRequest{Name: wanted.Name})
			if err != nil {
				return err
			}
			backend.MinEndpoints = int32(minEndpoints)
			request := &operatorv1.PutBackendRequest{
				RequestID: fmt.Sprintf("scale-%d", number), ExpectedRevision: backend.GetRevision(), Backend: backend,
			}
			_, err = backends.Put(ctx, request)
			return err
		})
	})
}

func weightOf(index int) int32 {
	return int32(index) + 1
}

// create creates the team as the operator with the given index and reports
// whether the change was accepted.
func (s *injection) create(ctx context.Context, d *rig.Daemon, name string, index int) bool {
	won := false
	err := s.rig.WithOperator(d, func(o *rig.Operator) error {
		request := &operatorv1.PutTeamRequest{
			RequestID: fmt.Sprintf("%s-%d", name, index),
			Team:      &operatorv1.Team{Name: name, Weight: weightOf(index)},
		}
		return s.rig.RetryCall(ctx, o, func(ctx context.Context) error {
			response, err := operatorv1.NewTeamsClient(o.Conn()).Put(ctx, request)
			won = err == nil && !response.GetPending()
			return err
		})
	})
	if err != nil && status.Code(err) != codes.Aborted {
		s.logf("through %s: %v", d.ID, err)
	}
	return won
}

// disagreeingDaemons returns the daemons whose team is missing or differs from
// the one that the winner created.
func (s *injection) disagreeingDaemons(ctx context.Context, name string, winner int) []string {
	var result []string
	for _, d := range s.rig.ActiveDaemons() {
		if s.isReserved(d) || !s.rig.Balancer.IsReady(d.ID) {
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

func (c *checker) isReserved(d *rig.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserved[d.ID]
}
