// Command turmericwallctl is the operators' command line: it publishes documents and inspects and drains daemons.
package main

import (
	"os"

	"github.com/turmericwall/turmericwall/turmericwallctl/internal/twcommand"
)

func main() {
	os.Exit(twcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
