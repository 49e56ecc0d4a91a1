// Package shared defines what the backend commands have in common: the flags, list
// columns and RPC calls of a back end.
//
// # Usage
//
//	flags := field.Add(cmd.Flags(), &operatorv1.Backend{}, shared.Resource.Flags)
package shared

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Resource describes a back end to the backend commands.
var Resource = resource.Resource{
	Noun:    "back end",
	New:     func() proto.Message { return &operatorv1.Backend{} },
	Columns: []string{"Name", "Type", "Model", "Version", "MinEndpoints", "MaxEndpoints", "FirmOnly", "Slots", "Revision"},
	Flags: []field.Flag{
		{Name: "type", Field: "Type", Default: "Model", Usage: "Model or Service"},
		{Name: "model", Field: "Model", Usage: "model that the engines load"},
		{Name: "version", Field: "Version", Usage: "version of the model"},
		{Name: "repeatable-method", Field: "RepeatableMethods", Usage: "HTTP method of a service whose requests may be retried; may be given several times"},
		{Name: "checks-fence", Field: "ChecksFence", Usage: "the endpoints refuse orders with an outdated fence"},
		{Name: "min-endpoints", Field: "MinEndpoints", Default: "1", Usage: "minimum number of endpoints"},
		{Name: "max-endpoints", Field: "MaxEndpoints", Default: "1", Usage: "maximum number of endpoints"},
		{Name: "firm-only", Field: "FirmOnly", Usage: "never use reclaimable endpoints"},
		{Name: "slots", Field: "Slots", Default: "8", Usage: "maximum number of concurrent requests per endpoint"},
	},
	Get:    get,
	GetAll: getAll,
	Put:    put,
	Remove: remove,
}

func get(ctx context.Context, c *client.Client, name string) (proto.Message, error) {
	return c.Backends.Get(ctx, &operatorv1.GetRequest{Name: name})
}

func getAll(ctx context.Context, c *client.Client) ([]proto.Message, error) {
	response, err := c.Backends.List(ctx, &operatorv1.ListRequest{})
	if err != nil {
		return nil, err
	}
	messages := make([]proto.Message, len(response.GetBackends()))
	for i, message := range response.GetBackends() {
		messages[i] = message
	}
	return messages, nil
}

func put(ctx context.Context, c *client.Client, requestID string, expected uint64, message proto.Message) (*operatorv1.ChangeResponse, error) {
	return c.Backends.Put(ctx, &operatorv1.PutBackendRequest{
		RequestID:        requestID,
		ExpectedRevision: expected,
		Backend:          message.(*operatorv1.Backend),
	})
}

func remove(ctx context.Context, c *client.Client, req *operatorv1.DeleteRequest) (*operatorv1.ChangeResponse, error) {
	return c.Backends.Delete(ctx, req)
}
