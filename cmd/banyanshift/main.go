// Command banyanshift is the router's daemon and its operators' command line.
package main

import (
	"os"

	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/root"
	"github.com/banyanshift/banyanshift/internal/daemon/serve"
)

func main() {
	os.Exit(root.Main(factory.New(serve.Run), os.Args[1:]))
}
