package rpc

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Lengths of the random parts of a key.
const (
	keyIDBytes     = 8
	keySecretBytes = 32
)

type keysService struct {
	operatorv1.UnimplementedKeysServer
	server *Server
}

// Create implements operatorv1.KeysServer.
func (k *keysService) Create(ctx context.Context, req *operatorv1.CreateKeyRequest) (*operatorv1.CreateKeyResponse, error) {
	if req.GetExpectedRevision() != 0 {
		return nil, invalid("ExpectedRevision", "must be 0: a key is always new")
	}
	id, secret := newKeySecret()
	key := entity.Key{ID: id, Team: req.GetTeam(), Class: req.GetClass(), Hash: sha256.Sum256([]byte(secret))}
	response, err := k.server.propose(ctx, req.GetRequestID(), change{entity.KindKey, id, 0, key})
	if status.Code(err) == codes.AlreadyExists {
		return nil, status.Error(codes.AlreadyExists,
			"the request ID was used before; if it made a key, its secret cannot be shown again: withdraw that key and create another")
	}
	if err != nil {
		return nil, err
	}
	message := keyMessage(key, revisionOf(response, id))
	return &operatorv1.CreateKeyResponse{Change: response, Key: message, Secret: secret}, nil
}

// newKeySecret returns a new key ID and the complete secret that callers send,
// which contains the ID.
func newKeySecret() (id, secret string) {
	random := make([]byte, keyIDBytes+keySecretBytes)
	// Read never returns an error.
	_, _ = rand.Read(random)
	id = hex.EncodeToString(random[:keyIDBytes])
	return id, strings.Join([]string{"bs", id, hex.EncodeToString(random[keyIDBytes:])}, "_")
}

func revisionOf(response *operatorv1.ChangeResponse, name string) uint64 {
	for _, revision := range response.GetRevisions() {
		if revision.GetName() == name {
			return revision.GetRevision()
		}
	}
	return 0
}

// Withdraw implements operatorv1.KeysServer.
func (k *keysService) Withdraw(ctx context.Context, req *operatorv1.WithdrawKeyRequest) (*operatorv1.ChangeResponse, error) {
	key, found := k.server.config.State.Key(req.GetID())
	if !found {
		return nil, notFound("Key", req.GetID())
	}
	key.Withdrawn = true
	expected := req.GetExpectedRevision()
	if expected == 0 {
		expected = changelog.AnyRevision
	}
	return k.server.proposeUnchecked(ctx, req.GetRequestID(), change{entity.KindKey, key.ID, expected, key})
}

// Get implements operatorv1.KeysServer.
func (k *keysService) Get(_ context.Context, req *operatorv1.GetRequest) (*operatorv1.Key, error) {
	key, found := k.server.config.State.Key(req.GetName())
	if !found {
		return nil, notFound("Key", req.GetName())
	}
	return k.message(key, k.server.config.State.DeniedKeys()), nil
}

// List implements operatorv1.KeysServer.
func (k *keysService) List(_ context.Context, req *operatorv1.ListKeysRequest) (*operatorv1.ListKeysResponse, error) {
	response := &operatorv1.ListKeysResponse{}
	denied := k.server.config.State.DeniedKeys()
	for _, key := range k.server.config.State.Keys(req.GetTeam()) {
		response.Keys = append(response.Keys, k.message(key, denied))
	}
	return response, nil
}

// message returns a key with its revision. denied are the sorted IDs of the
// keys whose withdrawal is in force but not yet in the change log.
func (k *keysService) message(key entity.Key, denied []string) *operatorv1.Key {
	message := keyMessage(key, k.server.revision(entity.KindKey, key.ID))
	_, message.WithdrawalPending = slices.BinarySearch(denied, key.ID)
	return message
}
