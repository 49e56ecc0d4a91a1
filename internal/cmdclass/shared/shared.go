// Package shared defines what the class commands have in common: the flags, list
// columns and RPC calls of a class.
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

// Resource describes a class to the class commands.
var Resource = resource.Resource{
	Noun:    "class",
	New:     func() proto.Message { return &operatorv1.Class{} },
	Columns: []string{"Name", "Tier", "FirstTokenTarget", "BetweenTokensTarget", "GuaranteedShare", "RefuseEarly", "MaxWait", "Revision"},
	Flags: []field.Flag{
		{Name: "tier", Field: "Tier", Required: true, Usage: "priority from 0 (highest) to 4"},
		{Name: "first-token-target", Field: "FirstTokenTarget", Required: true, Usage: "target for the 95th percentile of the time to first token"},
		{Name: "between-tokens-target", Field: "BetweenTokensTarget", Usage: "target for the 95th percentile of the time between tokens"},
		{Name: "guaranteed-share", Field: "GuaranteedShare", Usage: "share of a pool, from 0 to 1, guaranteed to the class even when higher tiers are overloaded"},
		{Name: "refuse-early", Field: "RefuseEarly", Usage: "refuse a request as soon as it is predicted to miss its target"},
		{Name: "max-wait", Field: "MaxWait", Default: "30s", Usage: "maximum time that a request waits in the queue"},
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
