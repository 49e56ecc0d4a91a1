// Command banyanshift is the router's daemon and its operators' command line.
package main

import (
	"context"
	"errors"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/root"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

func main() {
	os.Exit(root.Main(factory.New(serve), os.Args[1:]))
}

// serve stands in for the daemon until that is part of this program.
func serve(context.Context, ini.Settings, *logrus.Logger) error {
	return errors.New("this build has no daemon")
}
