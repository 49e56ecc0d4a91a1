package claim

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventUnavailable = event.New(1900, logrus.WarnLevel, "idempotency keys cannot be claimed",
		"The table did not answer in time. Requests with an idempotency key are refused without running until it does; see Claim.RefusedStoreDown. Check the platform's table service.")
	eventAvailable = event.New(1902, logrus.InfoLevel, "idempotency keys can be claimed again",
		"The table answers again.")
	eventOwnerDied = event.New(1901, logrus.WarnLevel, "claim of a daemon that is gone",
		"A retry reached a claim whose daemon died before it recorded the outcome. The retry was refused with Run: Unknown.")
)

var (
	claimsWon        = metric.NewCounter("Claim.Won", "Requests with an idempotency key that were allowed to run.")
	claimsReplayed   = metric.NewCounter("Claim.Replayed", "Retries that got the recorded answer.")
	claimsLost       = metric.NewCounter("Claim.Lost", "Requests with an idempotency key whose outcome is unknown.")
	refusedStoreDown = metric.NewCounter("Claim.RefusedStoreDown", "Requests refused because the table did not answer.")
)
