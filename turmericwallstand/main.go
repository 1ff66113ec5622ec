// Command turmericwallstand simulates the systems around the router, and loads and measures the router with them.
package main

import (
	"os"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcommand"
)

func main() {
	os.Exit(twcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
