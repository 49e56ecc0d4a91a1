package rig

import (
	"context"
	"errors"
	"fmt"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/load"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Operator is a client of one daemon's operator RPC.
type Operator struct {
	conn  *grpc.ClientConn
	token string
}

// Operator returns a client of a daemon's operator RPC. The caller closes it.
func (r *Rig) Operator(d *Daemon) (*Operator, error) {
	conn, err := grpc.NewClient(d.Operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	return &Operator{conn: conn, token: r.operatorToken}, nil
}

// Close closes the connection to the daemon.
func (o *Operator) Close() {
	_ = o.conn.Close()
}

// Conn returns the connection, for the generated clients.
func (o *Operator) Conn() *grpc.ClientConn {
	return o.conn
}

// Context returns ctx with the operator's token in its outgoing metadata.
func (o *Operator) Context(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+o.token)
}

// WithOperator calls act with a client of one daemon's operator RPC and closes
// the client afterwards.
func (r *Rig) WithOperator(d *Daemon, act func(o *Operator) error) error {
	o, err := r.Operator(d)
	if err != nil {
		return err
	}
	defer o.Close()
	return act(o)
}

// configure writes the scenario's entities and creates two keys for each team.
func (r *Rig) configure(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "configure") }()
	return r.WithOperator(r.ActiveDaemons()[0], func(o *Operator) error {
		if err := r.applyEntities(ctx, o); err != nil {
			return err
		}
		for _, team := range r.Scenario.Teams {
			for i := range keysPerTeam {
				if err := r.CreateKey(ctx, o, team.Name, fmt.Sprintf("key-%s-%d", team.Name, i)); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

const (
	keysPerTeam = 2
	callTimeout = 10 * clock.Second
)

func (r *Rig) applyEntities(ctx context.Context, o *Operator) error {
	request := &operatorv1.ApplyRequest{RequestID: "rig-apply", Changes: entityChanges(r.Scenario)}
	return r.RetryCall(ctx, o, func(ctx context.Context) error {
		_, err := operatorv1.NewConfigClient(o.conn).Apply(ctx, request)
		return err
	})
}

// CreateKey creates a key for a team and adds it to the keys that the load
// uses for the team.
func (r *Rig) CreateKey(ctx context.Context, o *Operator, team, requestID string) error {
	var created *operatorv1.CreateKeyResponse
	err := r.RetryCall(ctx, o, func(ctx context.Context) (err error) {
		created, err = operatorv1.NewKeysClient(o.conn).Create(ctx, &operatorv1.CreateKeyRequest{RequestID: requestID, Team: team})
		return err
	})
	if err != nil {
		return err
	}
	if created.GetSecret() == "" {
		return errors.New("daemon returned a key without a secret")
	}
	r.Keys.Add(team, load.Key{ID: created.GetKey().GetID(), Secret: created.GetSecret()})
	return nil
}

// RetryCall retries a call until its outcome is known or readyTimeout is over.
// The call must use the same request ID in each attempt to be idempotent.
func (r *Rig) RetryCall(ctx context.Context, o *Operator, call func(ctx context.Context) error) (err error) {
	deadline := r.Clock.Now() + readyTimeout
	for r.Clock.Now() < deadline {
		attempt, cancel := context.WithTimeout(o.Context(ctx), callTimeout.Duration())
		err = call(attempt)
		cancel()
		switch status.Code(err) {
		case codes.Unavailable, codes.Unknown, codes.DeadlineExceeded:
		default:
			return err
		}
		if r.Clock.Sleep(ctx, pollInterval) != nil {
			return err
		}
	}
	return err
}
