package rpc

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// maxRequestIDLength is the maximum length of a request ID, in bytes.
const maxRequestIDLength = 128

// change writes or deletes one entity.
type change struct {
	kind             entity.Kind
	name             string
	expectedRevision uint64
	// value is an entity.Team, Key, Class, Route or Backend; nil deletes the
	// entity.
	value any
}

// propose validates the changes and applies them in one transaction.
func (s *Server) propose(ctx context.Context, requestID string, changes ...change) (*operatorv1.ChangeResponse, error) {
	if err := checkRequestID(requestID); err != nil {
		return nil, err
	}
	if err := s.check(changes); err != nil && !s.alreadyApplied(ctx, requestID) {
		return nil, err
	}
	return s.proposeUnchecked(ctx, requestID, changes...)
}

// alreadyApplied reports whether a change with this request ID is in the change
// log. A retry of such a change is not validated against the current
// configuration, which may have changed since: proposing it again returns the
// first outcome.
func (s *Server) alreadyApplied(ctx context.Context, requestID string) bool {
	_, found, err := s.config.FindChange(ctx, requestID)
	return err == nil && found
}

// proposeUnchecked is propose without the validation of the changes and their
// references.
func (s *Server) proposeUnchecked(ctx context.Context, requestID string, changes ...change) (*operatorv1.ChangeResponse, error) {
	if err := checkRequestID(requestID); err != nil {
		return nil, err
	}
	proposal, err := newProposal(operatorName(ctx), requestID, changes)
	if err != nil {
		return nil, err
	}
	outcome, err := s.config.Propose(ctx, proposal)
	if err != nil {
		err = proposeError(err)
		s.logChangeFailed(proposal, status.Code(err))
		return nil, err
	}
	s.logChanged(proposal, outcome)
	return changeResponse(proposal, outcome), nil
}

func (s *Server) logChangeFailed(proposal changelog.Proposal, code codes.Code) {
	eventChangeFailed.Log(s.logger, logrus.Fields{
		"Operator":  proposal.Actor,
		"RequestID": proposal.RequestID,
		"Entities":  len(proposal.Writes),
		"Code":      code.String(),
	})
}

func (s *Server) logChanged(proposal changelog.Proposal, outcome Outcome) {
	eventChanged.Log(s.logger, logrus.Fields{
		"Operator":    proposal.Actor,
		"RequestID":   proposal.RequestID,
		"Entities":    len(proposal.Writes),
		"Sequence":    outcome.Sequence,
		"Pending":     outcome.Pending,
		"Unconfirmed": len(outcome.Unconfirmed),
	})
}

func checkRequestID(requestID string) error {
	if requestID == "" {
		return invalid("RequestID", "is missing; choose a new one for each change")
	}
	if len(requestID) > maxRequestIDLength {
		return invalid("RequestID", "is longer than %d bytes", maxRequestIDLength)
	}
	for _, char := range requestID {
		if char <= ' ' || char > '~' || char == '/' {
			return invalid("RequestID", "must hold only visible ASCII characters other than a slash")
		}
	}
	return nil
}

func newProposal(actor, requestID string, changes []change) (changelog.Proposal, error) {
	proposal := changelog.Proposal{Actor: actor, RequestID: requestID, Expected: make(map[string]uint64, len(changes))}
	for _, c := range changes {
		write := state.DeleteWrite(c.kind, c.name)
		if c.value != nil {
			var err error
			if write, err = state.PutWrite(c.value); err != nil {
				return changelog.Proposal{}, invalidEntity(c, err)
			}
		}
		proposal.Expected[write.Entity] = c.expectedRevision
		proposal.Writes = append(proposal.Writes, write)
	}
	return proposal, nil
}

func invalidEntity(c change, err error) error {
	if errors.Is(err, entity.ErrInvalid) {
		return invalid(string(c.kind), "%v", err)
	}
	return status.Error(codes.Internal, err.Error())
}

func changeResponse(proposal changelog.Proposal, outcome Outcome) *operatorv1.ChangeResponse {
	response := &operatorv1.ChangeResponse{
		Sequence:    outcome.Sequence,
		Confirmed:   outcome.Confirmed,
		Unconfirmed: outcome.Unconfirmed,
		Pending:     outcome.Pending,
	}
	for _, write := range proposal.Writes {
		kind, name := state.SplitName(write.Entity)
		response.Revisions = append(response.Revisions,
			&operatorv1.EntityRevision{Kind: string(kind), Name: name, Revision: outcome.Revisions[write.Entity]})
	}
	return response
}
