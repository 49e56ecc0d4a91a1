package serve

import (
	"context"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// maxLoggedFaults is the maximum number of entries in one event.
const maxLoggedFaults = 5

// endpointLister reads the platform's list of endpoints and logs the entries that are left out,
// once as long as they stay the same. Only one goroutine uses it.
type endpointLister struct {
	client order.Client
	logger logrus.FieldLogger
	// logged holds the faults that were logged last.
	logged string
}

func newEndpointLister(client order.Client, logger logrus.FieldLogger) *endpointLister {
	return &endpointLister{client: client, logger: logger}
}

func (l *endpointLister) list(ctx context.Context) ([]entity.Endpoint, error) {
	var faults []string
	endpoints, err := l.client.Endpoints(ctx, func(err error) { faults = append(faults, err.Error()) })
	if err != nil {
		return nil, err
	}
	if found := strings.Join(faults[:min(len(faults), maxLoggedFaults)], "; "); found != l.logged {
		l.logged = found
		l.logFaults(len(faults), found)
	}
	return endpoints, nil
}

func (l *endpointLister) logFaults(entries int, found string) {
	if entries > 0 {
		eventEntriesUnusable.Log(l.logger, logrus.Fields{"Entries": entries, "Error": found})
	}
}
