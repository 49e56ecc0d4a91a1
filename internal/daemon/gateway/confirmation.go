package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventUnconfirmed = event.New(1533, logrus.WarnLevel, "configuration is not confirmed",
		"The store was not known to hold the configuration for Age ms. Source is the daemon that the store answered last, as far as this one heard. Requests are served by that version until the store answers a daemon again.")
	eventConfirmed = event.New(1534, logrus.InfoLevel, "configuration is confirmed again",
		"The store held the configuration Age ms ago, when it answered Source, after it had not been confirmed for the stated time.")
)

// maxConfirmedAge is the age of a confirmation from which it is logged as missing.
const maxConfirmedAge = 2500 * clock.Millisecond

// confirmationLog logs when the held document is no longer confirmed, and when it is again.
type confirmationLog struct {
	document *document.Holder
	logger   logrus.FieldLogger
	// missing is set while the confirmation is old, and last is then the last one.
	missing bool
	last    document.Reading
}

// log logs a change since its last call. now is the time of the clock of the readings.
func (l *confirmationLog) log(now clock.Millis) {
	identity, confirmed, known := l.document.Identity()
	age := now - confirmed.AsOf
	missing := known && age > maxConfirmedAge
	fields := logrus.Fields{"Version": identity.Version, "Age": int64(age), "Source": confirmed.Source}
	switch {
	case missing && !l.missing:
		eventUnconfirmed.Log(l.logger, fields)
		l.last = confirmed
	case !missing && l.missing:
		fields["Unconfirmed"] = int64(confirmed.AsOf - l.last.AsOf)
		eventConfirmed.Log(l.logger, fields)
	}
	l.missing = missing
}
