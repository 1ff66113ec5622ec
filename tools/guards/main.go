// Command guards takes guards out of a copy of the tree, one at a time, and shows that the test of each fails without it.
package main

import (
	"os"

	"github.com/turmericwall/turmericwall/tools/guards/internal/twcommand"
)

func main() {
	os.Exit(twcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
