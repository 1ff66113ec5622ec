// Modelserver is a stand-in for one server, in a process of its own.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/turmericwall/turmericwall/review/second/twserver"
)

// slowFactor is how many times as long the engine works from SIGUSR1 on.
const slowFactor = 4

func main() {
	address := flag.String("address", "", "the address to listen on")
	config := twserver.Config{Log: os.Stdout}
	flag.StringVar(&config.ID, "id", "", "the id of the server")
	flag.StringVar(&config.Phase, "phase", "", "prefill or decode; empty for a plain service")
	flag.IntVar(&config.Pieces, "pieces", 70, "the number of events of a stream")
	flag.DurationVar(&config.Gap, "gap", 25*time.Millisecond, "the time between two events")
	flag.DurationVar(&config.Work, "work", 15*time.Millisecond, "the time that a plain request takes")
	flag.DurationVar(&config.Switch, "switch", 6*time.Second, "the time that a change of the stage takes")
	flag.DurationVar(&config.First, "first", 0, "how much longer the first event of a stream takes")
	flag.BoolVar(&config.Unframed, "unframed", false, "answer without a length, until the end of the connection")
	flag.Parse()
	engine := twserver.New(config)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for received := range signals {
			if received == syscall.SIGUSR1 {
				engine.SetFactor(slowFactor)
				continue
			}
			engine.SetLapses()
		}
	}()
	server := &http.Server{Addr: *address, Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
