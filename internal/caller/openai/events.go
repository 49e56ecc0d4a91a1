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
	"The request resumes on another engine at the token where it stopped, if the answer is not whole yet and the retry budget allows it. Check an engine that is named often.")

var (
	resumedStreams    = metric.NewMap("Caller.Resumed", "Streams that resumed on another engine, by reason.")
	firstTokens       = metric.NewMap("Caller.FirstTokens", "Requests that received a first token, by class.")
	firstTokensInTime = metric.NewMap("Caller.FirstTokensInTime", "Requests that received a first token within the target of the class, by class.")
	completions       = metric.NewMap("Caller.ModelCompleted", "Model requests with a complete response, by class.")
)

func observeFirstToken(req *request.Request, took clock.Millis) {
	firstTokens.Add(req.Class, 1)
	if took <= req.FirstTokenTarget {
		firstTokensInTime.Add(req.Class, 1)
	}
}

// FirstTokenCounts returns how many requests of the class received a first token
// in this process, and how many of them within the class's target.
func FirstTokenCounts(class string) (came, inTime int64) {
	return counterValue(firstTokens, class), counterValue(firstTokensInTime, class)
}

func counterValue(counts *expvar.Map, key string) int64 {
	if counter, ok := counts.Get(key).(*expvar.Int); ok {
		return counter.Value()
	}
	return 0
}

func observeCompletion(req *request.Request) {
	completions.Add(req.Class, 1)
}
