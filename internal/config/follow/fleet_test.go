package follow

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

var errDisconnected = errors.New("peer is disconnected")

// fleet runs several followers in this process. Messages between them are
// encoded and decoded. Connections and stores can be made to fail.
type fleet struct {
	t       testing.TB
	store   *table.Memory
	clock   clock.Clock
	timing  Timing
	objects changelog.ObjectStore
	nodes   []*node

	mu           sync.Mutex
	view         []member.Member
	disconnected map[[2]string]bool
	bytes        int
	calls        int
	// dropPushes drops every Push.
	dropPushes bool
}

type node struct {
	id       string
	follower *Follower
	state    *state.State
	store    *faultyStore
	cancel   context.CancelFunc
	done     chan struct{}
}

// faultyStore is one daemon's client of the shared store. It can be down.
// beforeCommit can delay a commit, and afterCommit can change its result.
type faultyStore struct {
	mu   sync.Mutex
	down bool
	// silent makes calls that read rows hang until their context ends.
	silent       bool
	beforeCommit func()
	afterCommit  func(table.Txn, error) error
	table        table.Client
}

func (s *faultyStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *faultyStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *faultyStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *faultyStore) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *faultyStore) client() table.Client {
	return table.Client{
		Get: func(ctx context.Context, key string) (table.Row, error) {
			if s.unavailable() {
				return table.Row{}, table.ErrUnavailable
			}
			return s.table.Get(ctx, key)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
			if s.unavailable() {
				return nil, table.ErrUnavailable
			}
			if s.isSilent() {
				<-ctx.Done()
				return nil, table.ErrUnknown
			}
			return s.table.Scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, txn table.Txn) error {
			if s.unavailable() {
				return table.ErrUnavailable
			}
			s.mu.Lock()
			before, after := s.beforeCommit, s.afterCommit
			s.mu.Unlock()
			if before != nil {
				before()
			}
			err := s.table.Commit(ctx, txn)
			if after != nil {
				return after(txn, err)
			}
			return err
		},
	}
}

func quickTiming() Timing {
	return Timing{
		PollInterval:      30 * clock.Millisecond,
		CheckInterval:     30 * clock.Millisecond,
		PeerCallTimeout:   500 * clock.Millisecond,
		StoreCallTimeout:  500 * clock.Millisecond,
		StaleAge:          200 * clock.Millisecond,
		IsolationAge:      400 * clock.Millisecond,
		ConfirmTimeout:    2 * clock.Second,
		WithdrawalTimeout: 300 * clock.Millisecond,
		AdoptDelay:        300 * clock.Millisecond,
	}
}

func newFleet(t testing.TB, domains, perDomain int) *fleet {
	fl := &fleet{
		t:            t,
		store:        table.NewMemory(),
		clock:        clock.System(),
		timing:       quickTiming(),
		disconnected: make(map[[2]string]bool),
	}
	var objectsMu sync.Mutex
	objects := make(map[string][]byte)
	fl.objects = changelog.ObjectStore{
		Put: func(_ context.Context, name string, data []byte) error {
			objectsMu.Lock()
			defer objectsMu.Unlock()
			objects[name] = data
			return nil
		},
		Get: func(_ context.Context, name string) ([]byte, error) {
			objectsMu.Lock()
			defer objectsMu.Unlock()
			if data, found := objects[name]; found {
				return data, nil
			}
			return nil, errors.New("no such object")
		},
	}
	for d := range domains {
		for i := range perDomain {
			fl.view = append(fl.view, member.Member{
				ID:            fmt.Sprintf("vm-%02d-%02d", d, i),
				FailureDomain: fmt.Sprintf("domain-%02d", d),
				State:         member.Alive,
			})
		}
	}
	for _, m := range fl.view {
		fl.nodes = append(fl.nodes, fl.newNode(m))
	}
	return fl
}

func (fl *fleet) newNode(m member.Member) *node {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n := &node{id: m.ID, state: state.New(), store: &faultyStore{table: fl.store.Client()}}
	seed := uint64(len(fl.nodes))
	log := changelog.New(changelog.Config{
		Table: n.store.client(), Clock: fl.clock, Prefix: "Config", Objects: fl.objects,
		Rand: rand.New(rand.NewPCG(3, seed)),
	})
	n.follower = New(Config{
		ID: m.ID, FailureDomain: m.FailureDomain, State: n.state, Log: log, Clock: fl.clock, Logger: logger,
		Rand: rand.New(rand.NewPCG(4, seed)),
		View: func() []member.Member {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			return append([]member.Member(nil), fl.view...)
		},
		MemberCounts:  func() (int, int) { return fl.memberCounts(m.ID) },
		SnapshotEvery: 5,
		Timing:        fl.timing,
	})
	n.follower.SetPeers(fl.peersOf(m.ID))
	return n
}

// memberCounts returns how many members the daemon is connected to and how many
// members there are.
func (fl *fleet) memberCounts(id string) (live, known int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, m := range fl.view {
		known++
		if m.Live() && !fl.disconnected[pair(id, m.ID)] {
			live++
		}
	}
	return live, known
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (fl *fleet) node(id string) *node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, n := range fl.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (fl *fleet) connectedNode(from, to string) (*node, error) {
	target := fl.node(to)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.calls++
	if fl.disconnected[pair(from, to)] || target == nil || target.cancel == nil {
		return nil, errDisconnected
	}
	return target, nil
}

// throughCodec encodes and decodes a message and counts its bytes.
func throughCodec[M any](fl *fleet, body M) M {
	encoded, err := frame.Encode(body)
	if err != nil {
		fl.t.Error(err)
	}
	fl.mu.Lock()
	fl.bytes += frame.Frame{Body: encoded}.Size()
	fl.mu.Unlock()
	var decoded M
	if err := frame.Decode(encoded, &decoded); err != nil {
		fl.t.Error(err)
	}
	return decoded
}

func exchange[Req, Resp any](ctx context.Context, fl *fleet, from, to string, req Req,
	serve func(n *node) func(context.Context, string, Req) (Resp, error),
) (resp Resp, err error) {
	if err := ctx.Err(); err != nil {
		return resp, err
	}
	target, err := fl.connectedNode(from, to)
	if err != nil {
		return resp, err
	}
	resp, err = serve(target)(ctx, from, throughCodec(fl, req))
	if err != nil {
		return resp, err
	}
	return throughCodec(fl, resp), nil
}

func (fl *fleet) peersOf(id string) PeerClient {
	return PeerClient{
		Check: func(ctx context.Context, peer link.Peer, check Check) (CheckReply, error) {
			return exchange(ctx, fl, id, peer.ID, check, func(n *node) func(context.Context, string, Check) (CheckReply, error) {
				return n.follower.ServeCheck
			})
		},
		Push: func(ctx context.Context, peer link.Peer, push Push) (PushReply, error) {
			fl.mu.Lock()
			drop := fl.dropPushes
			fl.mu.Unlock()
			if drop {
				return PushReply{}, errDisconnected
			}
			return exchange(ctx, fl, id, peer.ID, push, func(n *node) func(context.Context, string, Push) (PushReply, error) {
				return n.follower.ServePush
			})
		},
		Deny: func(ctx context.Context, peer link.Peer, deny Deny) (DenyReply, error) {
			return exchange(ctx, fl, id, peer.ID, deny, func(n *node) func(context.Context, string, Deny) (DenyReply, error) {
				return n.follower.ServeDeny
			})
		},
		Copy: func(ctx context.Context, peer link.Peer, request CopyRequest) (CopyReply, error) {
			return exchange(ctx, fl, id, peer.ID, request, func(n *node) func(context.Context, string, CopyRequest) (CopyReply, error) {
				return n.follower.ServeCopy
			})
		},
	}
}

func (fl *fleet) start(nodes ...*node) {
	for _, n := range nodes {
		ctx, cancel := context.WithCancel(context.Background())
		fl.mu.Lock()
		n.cancel = cancel
		fl.mu.Unlock()
		n.done = make(chan struct{})
		go func() {
			defer close(n.done)
			_ = n.follower.Run(ctx)
		}()
		fl.t.Cleanup(func() { fl.stop(n) })
	}
}

func (fl *fleet) stop(n *node) {
	fl.mu.Lock()
	cancel := n.cancel
	n.cancel = nil
	fl.mu.Unlock()
	if cancel != nil {
		cancel()
		<-n.done
	}
}

// replace stops a daemon and starts a new one with the same ID and no state.
func (fl *fleet) replace(i int) {
	fl.stop(fl.nodes[i])
	fresh := fl.newNode(fl.view[i])
	fl.mu.Lock()
	fl.nodes[i] = fresh
	fl.mu.Unlock()
	fl.start(fresh)
}

func (fl *fleet) storeDown(down bool, nodes ...*node) {
	for _, n := range nodes {
		n.store.setDown(down)
	}
}

// isolate disconnects a daemon from all others, or reconnects it.
func (fl *fleet) isolate(id string, disconnected bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, m := range fl.view {
		if m.ID != id {
			fl.disconnected[pair(id, m.ID)] = disconnected
		}
	}
}

func (fl *fleet) eventually(what string, condition func() bool) {
	fl.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			fl.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (fl *fleet) eventuallyOnAll(what string, condition func(n *node) bool) {
	fl.t.Helper()
	fl.eventually(what, func() bool {
		for _, n := range fl.nodes {
			if !condition(n) {
				return false
			}
		}
		return true
	})
}

func (fl *fleet) waitReady() {
	fl.t.Helper()
	fl.eventuallyOnAll("all ready", func(n *node) bool { return n.follower.Ready() == nil })
}

func (fl *fleet) propose(n *node, requestID string, expected uint64, e any) (Outcome, error) {
	fl.t.Helper()
	write, err := state.PutWrite(e)
	if err != nil {
		fl.t.Fatal(err)
	}
	return n.follower.Propose(context.Background(), Proposal{
		Actor: "ada", RequestID: requestID,
		Expected: map[string]uint64{write.Entity: expected},
		Writes:   []changelog.Write{write},
	})
}

func (fl *fleet) mustPropose(n *node, requestID string, expected uint64, e any) Outcome {
	fl.t.Helper()
	outcome, err := fl.propose(n, requestID, expected, e)
	if err != nil {
		fl.t.Fatal(err)
	}
	return outcome
}

func team(weight int) entity.Team {
	return entity.Team{Name: "everest", Weight: weight}
}

func key(withdrawn bool) entity.Key {
	return entity.Key{ID: "k1", Team: "everest", Hash: sha256.Sum256([]byte("k1")), Withdrawn: withdrawn}
}

// refuses reports whether the daemon refuses the key k1.
func (n *node) refuses() bool {
	_, _, err := n.state.Authenticate(key(false).Hash)
	return errors.Is(err, state.ErrKeyWithdrawn)
}

func (n *node) admits() bool {
	_, _, err := n.state.Authenticate(key(false).Hash)
	return err == nil
}
