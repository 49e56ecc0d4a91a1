package permit

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventTerms = event.New(1215, logrus.InfoLevel, "endpoint states terms",
		"An endpoint said in an answer, to this daemon or to a peer, how many requests a second it takes from all daemons or how many refusals it survives, or that this has ended. Requests to it need a permit.")

	permitResults = metric.NewMap("Strain.Permits", "Requests to endpoints that have stated terms, by whether they got a permit.")
)
