// Package shared describes the noun class to the packages of its verbs.
//
// # Usage
//
//	flags := field.Add(cmd.Flags(), &operatorv1.Class{}, shared.Resource.Flags)
package shared

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Resource describes the noun.
var Resource = resource.Resource{
	Noun:    "class",
	New:     func() proto.Message { return &operatorv1.Class{} },
	Columns: []string{"Name", "Tier", "FirstTokenTarget", "BetweenTokensTarget", "GuaranteedShare", "RefuseEarly", "MaxWait", "Revision"},
	Flags: []field.Flag{
		{Name: "tier", Field: "Tier", Required: true, Usage: "priority, from 0, served first, to 4"},
		{Name: "first-token-target", Field: "FirstTokenTarget", Required: true, Usage: "time to the first token that 95 in 100 requests should meet"},
		{Name: "between-tokens-target", Field: "BetweenTokensTarget", Usage: "time between tokens that 95 in 100 should meet"},
		{Name: "guaranteed-share", Field: "GuaranteedShare", Usage: "part of a pool, from 0 to 1, that the class gets even under overload of higher tiers"},
		{Name: "refuse-early", Field: "RefuseEarly", Usage: "refuse a request as soon as it is predicted to miss its target"},
		{Name: "max-wait", Field: "MaxWait", Default: "30s", Usage: "how long a request may wait for its turn"},
	},
	Get:    get,
	GetAll: getAll,
	Put:    put,
	Remove: remove,
}

func get(ctx context.Context, c *client.Client, name string) (proto.Message, error) {
	return c.Classes.Get(ctx, &operatorv1.GetRequest{Name: name})
}

func getAll(ctx context.Context, c *client.Client) ([]proto.Message, error) {
	response, err := c.Classes.List(ctx, &operatorv1.ListRequest{})
	if err != nil {
		return nil, err
	}
	messages := make([]proto.Message, len(response.GetClasses()))
	for i, message := range response.GetClasses() {
		messages[i] = message
	}
	return messages, nil
}

func put(ctx context.Context, c *client.Client, requestID string, expected uint64, message proto.Message) (*operatorv1.ChangeResponse, error) {
	return c.Classes.Put(ctx, &operatorv1.PutClassRequest{
		RequestID:        requestID,
		ExpectedRevision: expected,
		Class:            message.(*operatorv1.Class),
	})
}

func remove(ctx context.Context, c *client.Client, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return c.Classes.Delete(ctx, req)
}
