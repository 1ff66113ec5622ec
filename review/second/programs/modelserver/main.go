// Modelserver is a stand-in for one server, in a process of its own.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/turmericwall/turmericwall/review/second/twserver"
)

func main() {
	address := flag.String("address", "", "the address to listen on")
	config := twserver.Config{Log: os.Stdout}
	flag.StringVar(&config.ID, "id", "", "the id of the server")
	flag.StringVar(&config.Phase, "phase", "", "prefill or decode; empty for a plain service")
	flag.IntVar(&config.Pieces, "pieces", 70, "the number of events of a stream")
	flag.DurationVar(&config.Gap, "gap", 25*time.Millisecond, "the time between two events")
	flag.DurationVar(&config.Work, "work", 15*time.Millisecond, "the time that a plain request takes")
	flag.DurationVar(&config.Switch, "switch", 6*time.Second, "the time that a change of the stage takes")
	flag.BoolVar(&config.Unframed, "unframed", false, "answer without a length, until the end of the connection")
	flag.Parse()
	server := &http.Server{Addr: *address, Handler: twserver.New(config), ReadHeaderTimeout: 5 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
