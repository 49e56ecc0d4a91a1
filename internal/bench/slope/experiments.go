package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/bench/probe"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

const (
	// usualPerDomain is the number of endpoints in a failure domain where
	// something else is varied.
	usualPerDomain = 1
	// usualDaemons is the number of daemons where something else is varied.
	usualDaemons = 4
	// partSize is how many entities one change creates.
	partSize = 250
	// takeoverPatience bounds the wait for a new holder of the lease.
	takeoverPatience = 60 * clock.Second
	pollPause        = 20 * clock.Millisecond
)

// measureDaemons varies the number of daemons. Nothing is asked of them, so
// that all they do is control.
func measureDaemons(ctx context.Context, b *bench, s *Series) error {
	for count := 2; count <= b.MaxDaemons; count *= 2 {
		b.progress("daemons: %d", count)
		err := b.with(ctx, fleet(usualPerDomain), count, func(r *rig.Rig) error {
			observed, err := b.observe(ctx, r, nil)
			if err != nil {
				return err
			}
			observed.addControl(s, float64(count))
			spread, err := spreadTime(ctx, b, r)
			if err != nil {
				return err
			}
			s.add("change in force everywhere, ms", float64(count), float64(spread))
			taken, err := takeoverTime(ctx, b, r)
			if err != nil {
				return err
			}
			s.add("lease taken over after a kill, ms", float64(count), float64(taken))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// spreadTime makes a change and returns how long it took until every daemon
// had it in force, from the moment it was sent.
func spreadTime(ctx context.Context, b *bench, r *rig.Rig) (took clock.Millis, err error) {
	started := b.Factory.Clock.Now()
	var accepted *operatorv1.ChangeResponse
	err = r.WithOperator(r.ActiveDaemons()[0], func(o *rig.Operator) (err error) {
		accepted, err = operatorv1.NewTeamsClient(o.Conn()).Put(o.Context(ctx), &operatorv1.PutTeamRequest{
			RequestID: fmt.Sprintf("spread-%d", started), Team: &operatorv1.Team{Name: fmt.Sprintf("spread-%d", started), Weight: 1},
		})
		return err
	})
	if err != nil {
		return 0, err
	}
	for _, d := range r.ActiveDaemons() {
		if err := waitSequence(ctx, b, r, d, accepted.GetSequence()); err != nil {
			return 0, err
		}
	}
	return b.Factory.Clock.Now() - started, nil
}

func waitSequence(ctx context.Context, b *bench, r *rig.Rig, d *rig.Daemon, sequence uint64) error {
	return r.WithOperator(d, func(o *rig.Operator) error {
		for {
			status, err := operatorv1.NewFleetClient(o.Conn()).Status(o.Context(ctx), &operatorv1.FleetStatusRequest{})
			if err != nil {
				return err
			}
			if status.GetConfigSequence() >= sequence {
				return nil
			}
			if err := b.Factory.Clock.Sleep(ctx, pollPause); err != nil {
				return err
			}
		}
	})
}

// takeoverTime kills the holder of the lease and returns how long it took
// until another daemon held it.
func takeoverTime(ctx context.Context, b *bench, r *rig.Rig) (took clock.Millis, err error) {
	before, err := leaseRow(ctx, r)
	if err != nil {
		return 0, err
	}
	started := b.Factory.Clock.Now()
	for _, d := range r.ActiveDaemons() {
		if len(before.Holder) > len(d.ID) && before.Holder[:len(d.ID)+1] == d.ID+"." {
			if err := r.Kill(ctx, d); err != nil {
				return 0, err
			}
		}
	}
	for b.Factory.Clock.Now()-started < takeoverPatience {
		row, err := leaseRow(ctx, r)
		if err != nil {
			return 0, err
		}
		if row.Fence > before.Fence {
			return b.Factory.Clock.Now() - started, nil
		}
		if err := b.Factory.Clock.Sleep(ctx, pollPause); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("nobody took the lease of %s over", before.Holder)
}

func leaseRow(ctx context.Context, r *rig.Rig) (row lease.Row, err error) {
	var stored table.Row
	query := struct{ Key string }{"Lease/" + r.Scenario.Region}
	if err := r.CallPlatform(ctx, http.MethodPost, "/table/get", query, &stored); err != nil {
		return row, err
	}
	return row, msgpack.Unmarshal(stored.Value, &row)
}

// measureTeams varies the number of teams, each with a key.
func measureTeams(ctx context.Context, b *bench, s *Series) error {
	return b.with(ctx, fleet(usualPerDomain), usualDaemons, func(r *rig.Rig) error {
		made := 0
		for _, count := range []int{1000, 10000, 40000} {
			b.progress("teams: %d", count)
			if err := createTeams(ctx, r, made, count); err != nil {
				return err
			}
			made = count
			observed, err := b.observe(ctx, r, nil)
			if err != nil {
				return err
			}
			observed.addControl(s, float64(count))
			started := b.Factory.Clock.Now()
			d, err := r.StartDaemon(ctx)
			if err != nil {
				return err
			}
			if err := waitReady(ctx, b, d); err != nil {
				return err
			}
			s.add("start until ready, ms", float64(count), float64(b.Factory.Clock.Now()-started))
		}
		return nil
	})
}

// createTeams creates the teams from made up to count, in changes of many.
func createTeams(ctx context.Context, r *rig.Rig, made, count int) error {
	return r.WithOperator(r.ActiveDaemons()[0], func(o *rig.Operator) error {
		for first := made; first < count; first += partSize {
			request := &operatorv1.ApplyRequest{RequestID: fmt.Sprintf("teams-%d", first)}
			for i := first; i < min(first+partSize, count); i++ {
				request.Changes = append(request.Changes, &operatorv1.EntityChange{Entity: &operatorv1.Entity{
					Value: &operatorv1.Entity_Team{Team: &operatorv1.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1}},
				}})
			}
			err := r.RetryCall(ctx, o, func(ctx context.Context) error {
				_, err := operatorv1.NewConfigClient(o.Conn()).Apply(ctx, request, grpc.WaitForReady(true))
				return err
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
}

func waitReady(ctx context.Context, b *bench, d *rig.Daemon) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Caller+"/readyz", http.NoBody)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := b.Factory.Clock.Sleep(ctx, pollPause); err != nil {
			return err
		}
	}
}

// measureEndpoints varies the number of endpoints.
func measureEndpoints(ctx context.Context, b *bench, s *Series) error {
	for _, perDomain := range []int{1, 10, 30, 100} {
		count := float64(perDomain * 3)
		b.progress("endpoints: %.0f", count)
		err := b.with(ctx, fleet(perDomain), usualDaemons, func(r *rig.Rig) error {
			observed, err := b.observe(ctx, r, nil)
			if err != nil {
				return err
			}
			observed.addControl(s, count)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureChanges varies how many changes operators make.
func measureChanges(ctx context.Context, b *bench, s *Series) error {
	return b.with(ctx, fleet(usualPerDomain), usualDaemons, func(r *rig.Rig) error {
		for _, perSecond := range []int{0, 1, 2, 4} {
			b.progress("changes: %d a second", perSecond)
			observed, err := b.observe(ctx, r, func(ctx context.Context) error {
				return makeChanges(ctx, b, r, perSecond)
			})
			if err != nil {
				return err
			}
			observed.addControl(s, float64(perSecond))
		}
		return nil
	})
}

// makeChanges changes a team's weight perSecond times a second until the
// context ends.
func makeChanges(ctx context.Context, b *bench, r *rig.Rig, perSecond int) error {
	if perSecond == 0 {
		return nil
	}
	return r.WithOperator(r.ActiveDaemons()[0], func(o *rig.Operator) error {
		teams := operatorv1.NewTeamsClient(o.Conn())
		name := fmt.Sprintf("changed-%d", perSecond)
		revision := uint64(0)
		for weight := int32(1); ctx.Err() == nil; weight++ {
			answer, err := teams.Put(o.Context(ctx), &operatorv1.PutTeamRequest{
				RequestID: fmt.Sprintf("%s-%d", name, weight), ExpectedRevision: revision,
				Team: &operatorv1.Team{Name: name, Weight: weight},
			})
			if err != nil {
				return err
			}
			revision = answer.GetSequence()
			if err := b.Factory.Clock.Sleep(ctx, clock.Second/clock.Millis(perSecond)); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureStreams varies how many streams are open at one daemon. More than
// the endpoints' slots wait in the router.
func measureStreams(ctx context.Context, b *bench, s *Series) error {
	for _, count := range []int{0, 100, 400, 800} {
		b.progress("streams: %d", count)
		err := b.with(ctx, fleet(usualPerDomain), 1, func(r *rig.Rig) error {
			holder := newStreams(r, count)
			defer holder.close()
			observed, err := b.observe(ctx, r, nil)
			if err != nil {
				return err
			}
			resident := func(u probe.Usage) float64 { return u.ResidentBytes / mebibyte }
			s.add("resident MiB, the daemon", float64(count), observed.mean(resident))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// streams holds requests open at the first daemon.
type streams struct {
	cancel context.CancelFunc
	open   sync.WaitGroup
}

func newStreams(r *rig.Rig, count int) *streams {
	ctx, cancel := context.WithCancel(context.Background())
	held := &streams{cancel: cancel}
	for i := range count {
		held.open.Add(1)
		go (&stream{streams: held, rig: r, number: i}).run(ctx)
	}
	return held
}

func (s *streams) close() {
	s.cancel()
	s.open.Wait()
}

// stream is one request that asks for a long answer.
type stream struct {
	streams *streams
	rig     *rig.Rig
	number  int
}

func (s *stream) run(ctx context.Context) {
	defer s.streams.open.Done()
	body, err := json.Marshal(map[string]any{
		"model": "slope-model", "stream": true,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("stream %d len=100000", s.number)}},
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.rig.ActiveDaemons()[0].Caller+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.rig.Keys.Active("first")[0].Secret)
	resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		if _, err := resp.Body.Read(buffer); err != nil {
			return
		}
	}
}
