package logline

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
)

// The Writer writes this event directly to its output, since a logger would queue
// it again.
var _ = event.New(1020, logrus.WarnLevel, "log lines dropped",
	"The reader of the output had stopped; the stated number of lines before this one are missing.")
