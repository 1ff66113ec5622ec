// Command turmericwallctl is the operators' command line.
package main

import (
	"os"

	"github.com/turmericwall/turmericwall/turmericwallctl/internal/twcommand"
)

func main() {
	os.Exit(twcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
