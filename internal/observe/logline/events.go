package logline

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

// The event is written by the Writer itself, since a logger would queue it.
var _ = event.New(1020, logrus.WarnLevel, "log lines dropped",
	"The reader of the output had stopped; so many lines are missing before this one.")
