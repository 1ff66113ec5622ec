// Command turmericwallstand runs stand-ins of the systems around the router, and loads and measures it.
package main

import (
	"os"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcommand"
)

func main() {
	os.Exit(twcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
