package serve

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/config/follow"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/platform/object"
	"github.com/banyanshift/banyanshift/internal/platform/vmlist"
)

const (
	// configPrefix starts the keys of the configuration's rows.
	configPrefix = "Config"
	// snapshotEvery is how many changes follow a snapshot before the next.
	snapshotEvery = 1000
	// rosterInterval is how often the list of VMs is read.
	rosterInterval = 1 * clock.Second
)

// buildPeers builds what daemons do together: the link, the view of the
// members and the configuration.
func (d *Daemon) buildPeers() (err error) {
	tlsConfig, err := peerTLS(d.settings.Peer.CertificateAuthority, d.settings.Peer.Certificate, d.settings.Peer.CertificateKey)
	if err != nil {
		return err
	}
	d.link = link.New(link.Config{ID: d.settings.Daemon.ID, Listen: d.settings.Peer.Listen, TLS: tlsConfig}, d.clock, d.logger)
	d.roster = newRoster(d.clock, vmlist.New(d.settings.Platform.VMListURL, d.platformHTTP))
	objects := object.New(d.settings.Platform.ObjectURL, d.platformHTTP)
	d.log = changelog.New(changelog.Config{
		Table: d.table, Clock: d.clock, Prefix: configPrefix, Rand: d.random(1),
		Objects: changelog.Objects{Get: getObject(objects), Put: objects.Put},
	})
	d.follower = follow.New(follow.Config{
		ID:            d.settings.Daemon.ID,
		FailureDomain: d.settings.Daemon.FailureDomain,
		State:         d.state,
		Log:           d.log,
		Clock:         d.clock,
		Logger:        d.logger,
		Rand:          d.random(2),
		View:          d.roster.View,
		Reach:         d.roster.Reach,
		SnapshotEvery: snapshotEvery,
		Timing:        follow.DefaultTiming(),
	})
	d.follower.Register(d.link)
	return nil
}

// getObject reads objects as the change log expects it: a missing one is nil.
func getObject(objects object.Client) func(ctx context.Context, name string) ([]byte, error) {
	return func(ctx context.Context, name string) ([]byte, error) {
		data, err := objects.Get(ctx, name)
		if errors.Is(err, object.ErrNotFound) {
			return nil, nil
		}
		return data, err
	}
}

// peerTLS returns nil when no certificate is configured.
func peerTLS(authority, certificate, key string) (config *tls.Config, err error) {
	defer func() { err = oops.Wrapf(err, "load peer certificates") }()
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("the certificate authority's file holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// roster is the view of the members by the platform's list alone.
type roster struct {
	clock clock.Clock
	list  vmlist.Client

	mu      sync.Mutex
	members []member.Member
}

func newRoster(clk clock.Clock, list vmlist.Client) *roster {
	return &roster{clock: clk, list: list}
}

// Run reads the list until the context ends.
func (r *roster) Run(ctx context.Context) error {
	for {
		if vms, err := r.list.List(ctx); err == nil {
			r.adopt(vms)
		}
		if err := r.clock.Sleep(ctx, rosterInterval); err != nil {
			return err
		}
	}
}

func (r *roster) adopt(vms []vmlist.VM) {
	members := make([]member.Member, 0, len(vms))
	for _, vm := range vms {
		state := member.Alive
		if vm.Leaving {
			state = member.Leaving
		}
		members = append(members, member.Member{
			ID: vm.ID, Address: vm.Address, Region: vm.Region, FailureDomain: vm.FailureDomain, State: state,
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
}

// View returns the members.
func (r *roster) View() []member.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members
}

// Reach returns how many daemons are live and how many there should be.
func (r *roster) Reach() (live, known int) {
	for _, m := range r.View() {
		if m.Live() {
			live++
		}
	}
	return live, live
}
