// Command banyanshift runs the router daemon and the command line for operators.
package main

import (
	"os"

	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/root"
	"github.com/banyanshift/banyanshift/internal/daemon/serve"
	"github.com/banyanshift/banyanshift/platform"
)

func main() {
	os.Exit(root.Main(factory.New(serve.Run, platform.DecodeDocument), os.Args[1:]))
}
