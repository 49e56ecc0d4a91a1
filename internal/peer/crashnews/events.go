package crashnews

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventCrashed = event.New(1216, logrus.WarnLevel, "endpoint crashed",
		"An endpoint ended while requests waited for their answers, and refuses connections. Suspects lists the digests of those that were reported first; most of them are innocent. Each lost request has an event 1131 at its daemon.")
	eventQuarantined = event.New(1217, logrus.WarnLevel, "requests are in quarantine",
		"Several endpoints have crashed under requests with this digest and none was answered since. Such requests are refused, but for rare trials. The quarantine ends when a trial is answered or when the endpoints' software has changed.")
	eventReleased = event.New(1218, logrus.InfoLevel, "quarantine ended",
		"A request with this digest was answered, the endpoints' software has changed, or the crashes are long past. Such requests are served again.")
	eventKeepFailed = event.New(1222, logrus.WarnLevel, "keeping crashes in the table failed",
		"What this daemon knows of requests that crash endpoints was not read from the table or not written to it. The daemon tries again. It would be lost if all daemons ended now.")
	eventLoaded = event.New(1223, logrus.InfoLevel, "crashes read from the table",
		"What daemons knew of requests that crash endpoints before this one started. It tells the others.")
	eventAlive = event.New(1219, logrus.InfoLevel, "endpoint has not crashed",
		"An endpoint that was taken for crashed has answered. What was concluded from its crash no longer counts.")

	admissions = metric.NewMap("Quarantine.Requests", "Requests under suspicion to crash endpoints, by whether they were tried or refused.")
	stopped    = metric.NewCounter("Quarantine.Digests", "Digests of requests that are in quarantine.")
)

// formatRequests returns the digests of each request as they are shown in logs.
func formatRequests(requests [][]quarantine.Digest) []string {
	formatted := make([]string, 0, len(requests))
	for _, request := range requests {
		formatted = append(formatted, quarantine.Join(request))
	}
	return formatted
}
