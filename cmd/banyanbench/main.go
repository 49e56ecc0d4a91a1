// Command banyanbench runs the stand-in services, load generators and checks that
// test banyanshift.
package main

import (
	"os"

	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/root"
)

func main() {
	os.Exit(root.Main(factory.New(), os.Args[1:]))
}
