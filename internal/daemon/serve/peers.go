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
	// snapshotEvery is how many changes follow a snapshot before the next.
	snapshotEvery = 1000
)

// buildPeers builds what daemons do together: the link, the view of the
// members and the configuration.
func (d *Daemon) buildPeers() (err error) {
	tlsConfig, err := peerTLS(d.settings.Peer.CertificateAuthority, d.settings.Peer.Certificate, d.settings.Peer.CertificateKey)
	if err != nil {
		return err
	}
	d.link = link.New(link.Config{ID: d.settings.Daemon.ID, Listen: d.settings.Peer.Listen, TLS: tlsConfig}, d.clock, d.logger)
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
		View:          func() []member.Member { return d.members.View() },
		MemberCounts:  func() (live, known int) { return d.members.MemberCounts() },
		SnapshotEvery: snapshotEvery,
		Timing:        follow.DefaultTiming(),
	})
	d.follower.Register(d.link)
	d.members = membership.New(membership.Config{
		Self:                 d.advertised(),
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

// advertised returns this daemon as it introduces itself. Without an address to
// advertise it is the link's, which is known once the link has started.
func (d *Daemon) advertised() member.Member {
	self := d.self()
	self.Address = d.settings.Peer.Advertise
	return self
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
