// Command turmericwalld is the router's daemon, which runs once on each entry VM.
package main

import (
	"os"

	"github.com/turmericwall/turmericwall/turmericwalld/internal/twcommand"
)

func main() {
	os.Exit(twcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
