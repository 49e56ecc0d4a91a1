package serve

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/config/follow"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/membership"
	"github.com/banyanshift/banyanshift/internal/platform/object"
	"github.com/banyanshift/banyanshift/internal/platform/vmlist"
)

const (
	// configPrefix starts the keys of the configuration's rows.
	configPrefix = "Config"
	// snapshotInterval is the number of changes between two snapshots.
	snapshotInterval = 1000
)

// buildPeers builds the link to the other daemons, the membership and the follower
// of the configuration's change log.
func (d *Daemon) buildPeers() (err error) {
	tlsConfig, err := peerTLS(d.settings.Peer.CertificateAuthority, d.settings.Peer.Certificate, d.settings.Peer.CertificateKey)
	if err != nil {
		return err
	}
	d.link = link.New(link.Config{ID: d.settings.Daemon.ID, Listen: d.settings.Peer.Listen, TLS: tlsConfig}, d.clock, d.logger)
	objects := object.New(d.settings.Platform.ObjectURL, d.platformHTTP)
	d.changeLog = changelog.New(changelog.Config{
		Table: d.table, Clock: d.clock, Prefix: configPrefix, Rand: d.random(1),
		Objects: changelog.ObjectStore{Get: getObject(objects), Put: objects.Put},
	})
	d.follower = follow.New(follow.Config{
		ID:            d.settings.Daemon.ID,
		FailureDomain: d.settings.Daemon.FailureDomain,
		State:         d.state,
		Log:           d.changeLog,
		Clock:         d.clock,
		Logger:        d.logger,
		Rand:          d.random(2),
		View:          func() []member.Member { return d.members.View() },
		MemberCounts:  func() (live, known int) { return d.members.MemberCounts() },
		SnapshotEvery: snapshotInterval,
		Timing:        follow.DefaultTiming(),
	})
	d.follower.Register(d.link)
	d.members = membership.New(membership.Config{
		Self:                 d.advertisedMember(),
		Link:                 d.link,
		List:                 vmlist.New(d.settings.Platform.VMListURL, d.platformHTTP),
		Clock:                d.clock,
		Logger:               d.logger,
		Rand:                 d.random(6),
		ConfigSequence:       d.state.Sequence,
		HandleConfigSequence: d.follower.NotifySequence,
	})
	return nil
}

// advertisedMember returns this daemon as the other members see it. If no address is
// configured, Address is empty and the membership uses the link's address, which is
// known only after the link has started.
func (d *Daemon) advertisedMember() member.Member {
	self := d.self()
	self.Address = d.settings.Peer.Advertise
	return self
}

// getObject returns a function that reads objects for the change log. It returns
// nil without an error for a missing object, as the change log expects.
func getObject(objects object.Client) func(ctx context.Context, name string) ([]byte, error) {
	return func(ctx context.Context, name string) ([]byte, error) {
		data, err := objects.Get(ctx, name)
		if errors.Is(err, object.ErrNotFound) {
			return nil, nil
		}
		return data, err
	}
}

// peerTLS returns the mutual TLS configuration for peers, or nil if no certificate
// is configured.
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
		return nil, errors.New("certificate authority file contains no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
