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
	// defaultEndpointsPerDomain is the number of endpoints per failure domain in
	// series that vary another size.
	defaultEndpointsPerDomain = 1
	// defaultDaemons is the number of daemons in series that vary another size.
	defaultDaemons = 4
	// teamsPerChange is the number of teams that one change creates.
	teamsPerChange = 250
	// takeoverTimeout bounds the wait for another daemon to acquire the lease.
	takeoverTimeout = 60 * clock.Second
	pollInterval    = 20 * clock.Millisecond
)

// measureDaemons varies the number of daemons. It sends them no calls, so the
// usage comes from control work only.
func measureDaemons(ctx context.Context, b *bench, s *Series) error {
	for count := 2; count <= b.MaxDaemons; count *= 2 {
		b.progress("daemons: %d", count)
		err := b.withRig(ctx, fleet(defaultEndpointsPerDomain), count, func(r *rig.Rig) error {
			observed, err := b.observe(ctx, r, nil)
			if err != nil {
				return err
			}
			observed.addControlUsage(s, float64(count))
			propagation, err := propagationTime(ctx, b, r)
			if err != nil {
				return err
			}
			s.add("change in force everywhere, ms", float64(count), float64(propagation))
			takeover, err := takeoverTime(ctx, b, r)
			if err != nil {
				return err
			}
			s.add("lease taken over after a kill, ms", float64(count), float64(takeover))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// propagationTime makes a change and returns the time from sending it until it
// is in force on every daemon.
func propagationTime(ctx context.Context, b *bench, r *rig.Rig) (took clock.Millis, err error) {
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
			if err := b.Factory.Clock.Sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	})
}

// takeoverTime kills the lease holder and returns the time until another daemon
// holds the lease.
func takeoverTime(ctx context.Context, b *bench, r *rig.Rig) (took clock.Millis, err error) {
	before, err := readLeaseRow(ctx, r)
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
	for b.Factory.Clock.Now()-started < takeoverTimeout {
		row, err := readLeaseRow(ctx, r)
		if err != nil {
			return 0, err
		}
		if row.Fence > before.Fence {
			return b.Factory.Clock.Now() - started, nil
		}
		if err := b.Factory.Clock.Sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("no daemon took over the lease of %s in time", before.Holder)
}

func readLeaseRow(ctx context.Context, r *rig.Rig) (row lease.Row, err error) {
	var stored table.Row
	query := struct{ Key string }{"Lease/" + r.Scenario.Region}
	if err := r.CallPlatform(ctx, http.MethodPost, "/table/get", query, &stored); err != nil {
		return row, err
	}
	return row, msgpack.Unmarshal(stored.Value, &row)
}

// measureTeams varies the number of teams. It also measures how long a new
// daemon takes to become ready.
func measureTeams(ctx context.Context, b *bench, s *Series) error {
	return b.withRig(ctx, fleet(defaultEndpointsPerDomain), defaultDaemons, func(r *rig.Rig) error {
		created := 0
		for _, count := range []int{1000, 10000, 40000} {
			b.progress("teams: %d", count)
			if err := createTeams(ctx, r, created, count); err != nil {
				return err
			}
			created = count
			observed, err := b.observe(ctx, r, nil)
			if err != nil {
				return err
			}
			observed.addControlUsage(s, float64(count))
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

// createTeams increases the number of teams from created to count, with
// teamsPerChange teams in each change.
func createTeams(ctx context.Context, r *rig.Rig, created, count int) error {
	return r.WithOperator(r.ActiveDaemons()[0], func(o *rig.Operator) error {
		for first := created; first < count; first += teamsPerChange {
			request := &operatorv1.ApplyRequest{RequestID: fmt.Sprintf("teams-%d", first)}
			for i := first; i < min(first+teamsPerChange, count); i++ {
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
		if err := b.Factory.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func measureEndpoints(ctx context.Context, b *bench, s *Series) error {
	for _, perDomain := range []int{1, 10, 30, 100} {
		count := float64(perDomain * 3)
		b.progress("endpoints: %.0f", count)
		err := b.withRig(ctx, fleet(perDomain), defaultDaemons, func(r *rig.Rig) error {
			observed, err := b.observe(ctx, r, nil)
			if err != nil {
				return err
			}
			observed.addControlUsage(s, count)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureChanges varies the rate of configuration changes by operators.
func measureChanges(ctx context.Context, b *bench, s *Series) error {
	return b.withRig(ctx, fleet(defaultEndpointsPerDomain), defaultDaemons, func(r *rig.Rig) error {
		for _, perSecond := range []int{0, 1, 2, 4} {
			b.progress("changes: %d a second", perSecond)
			observed, err := b.observe(ctx, r, func(ctx context.Context) error {
				return makeChanges(ctx, b, r, perSecond)
			})
			if err != nil {
				return err
			}
			observed.addControlUsage(s, float64(perSecond))
		}
		return nil
	})
}

// makeChanges changes a team's weight about perSecond times a second until ctx
// is done.
func makeChanges(ctx context.Context, b *bench, r *rig.Rig, perSecond int) error {
	if perSecond == 0 {
		return nil
	}
	return r.WithOperator(r.ActiveDaemons()[0], func(o *rig.Operator) error {
		teams := operatorv1.NewTeamsClient(o.Conn())
		name := fmt.Sprintf("changed-%d", perSecond)
		revision := uint64(0)
		for weight := int32(1); ctx.Err() == nil; weight++ {
			response, err := teams.Put(o.Context(ctx), &operatorv1.PutTeamRequest{
				RequestID: fmt.Sprintf("%s-%d", name, weight), ExpectedRevision: revision,
				Team: &operatorv1.Team{Name: name, Weight: weight},
			})
			if err != nil {
				return err
			}
			revision = response.GetSequence()
			if err := b.Factory.Clock.Sleep(ctx, clock.Second/clock.Millis(perSecond)); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureStreams varies the number of open streams at one daemon. Streams in
// excess of the endpoints' slots wait in the router.
func measureStreams(ctx context.Context, b *bench, s *Series) error {
	for _, count := range []int{0, 100, 400, 800} {
		b.progress("streams: %d", count)
		err := b.withRig(ctx, fleet(defaultEndpointsPerDomain), 1, func(r *rig.Rig) error {
			openStreams := openStreamGroup(r, count)
			defer openStreams.close()
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

// streamGroup is a set of streams kept open at the first daemon.
type streamGroup struct {
	cancel context.CancelFunc
	open   sync.WaitGroup
}

func openStreamGroup(r *rig.Rig, count int) *streamGroup {
	ctx, cancel := context.WithCancel(context.Background())
	group := &streamGroup{cancel: cancel}
	for i := range count {
		group.open.Add(1)
		go (&stream{group: group, rig: r, number: i}).run(ctx)
	}
	return group
}

func (s *streamGroup) close() {
	s.cancel()
	s.open.Wait()
}

// stream is one request for a long answer.
type stream struct {
	group  *streamGroup
	rig    *rig.Rig
	number int
}

func (s *stream) run(ctx context.Context) {
	defer s.group.open.Done()
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
