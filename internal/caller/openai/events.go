package openai

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var eventAttemptFailed = event.New(1110, logrus.InfoLevel, "an engine failed a request",
	"The request goes on elsewhere at the token where it stopped, within the retry budget. Look at the engine if one is named often.")

var (
	resumed       = metric.NewMap("Caller.Resumed", "Streams that went on at another engine, by reason.")
	firstToken    = metric.NewMap("Caller.FirstTokens", "Requests whose first token came, by class.")
	firstTokenMet = metric.NewMap("Caller.FirstTokensInTime", "Requests whose first token came within the class's target, by class.")
	completions   = metric.NewMap("Caller.ModelCompleted", "Model requests answered whole, by class.")
)

func observeFirstToken(req *request.Request, took clock.Millis) {
	firstToken.Add(req.Class, 1)
	if took <= req.FirstTokenTarget {
		firstTokenMet.Add(req.Class, 1)
	}
}

// FirstTokenCounts returns for how many requests of the class the first token came,
// and for how many of them within the class's target, in this process.
func FirstTokenCounts(class string) (came, inTime int64) {
	return count(firstToken, class), count(firstTokenMet, class)
}

func count(counts *expvar.Map, key string) int64 {
	if counter, ok := counts.Get(key).(*expvar.Int); ok {
		return counter.Value()
	}
	return 0
}

func observeCompletion(req *request.Request) {
	completions.Add(req.Class, 1)
}
