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

// Operator speaks to one daemon's interface for operators.
type Operator struct {
	conn  *grpc.ClientConn
	token string
}

// Operator returns a client of a daemon. Close it after use.
func (r *Rig) Operator(d *Daemon) (*Operator, error) {
	conn, err := grpc.NewClient(d.Operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	return &Operator{conn: conn, token: r.operator}, nil
}

// Close ends the connection.
func (o *Operator) Close() {
	_ = o.conn.Close()
}

// Conn returns the connection, for the generated clients.
func (o *Operator) Conn() *grpc.ClientConn {
	return o.conn
}

// Context returns ctx with the operator's credentials.
func (o *Operator) Context(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+o.token)
}

// WithOperator runs act against one daemon.
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
		if err := r.apply(ctx, o); err != nil {
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
	callTime    = 10 * clock.Second
)

func (r *Rig) apply(ctx context.Context, o *Operator) error {
	request := &operatorv1.ApplyRequest{RequestID: "rig-apply", Changes: entityChanges(r.Scenario)}
	return r.RetryCall(ctx, o, func(ctx context.Context) error {
		_, err := operatorv1.NewConfigClient(o.conn).Apply(ctx, request)
		return err
	})
}

// CreateKey creates a key and hands it to the callers of the team.
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
		return errors.New("the daemon returned no secret")
	}
	r.Keys.Add(team, load.Key{ID: created.GetKey().GetID(), Secret: created.GetSecret()})
	return nil
}

// RetryCall repeats a call with the same request ID until its outcome is known.
func (r *Rig) RetryCall(ctx context.Context, o *Operator, call func(ctx context.Context) error) (err error) {
	deadline := r.Clock.Now() + readyTime
	for r.Clock.Now() < deadline {
		attempt, cancel := context.WithTimeout(o.Context(ctx), callTime.Duration())
		err = call(attempt)
		cancel()
		switch status.Code(err) {
		case codes.Unavailable, codes.Unknown, codes.DeadlineExceeded:
		default:
			return err
		}
		if r.Clock.Sleep(ctx, waitPoll) != nil {
			return err
		}
	}
	return err
}
