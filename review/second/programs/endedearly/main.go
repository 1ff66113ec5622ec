// Endedearly kills model engines while they answer without a length, and checks that no stream that they broke off looks complete.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall/review/second/twdaemons"
	"github.com/turmericwall/turmericwall/review/second/twrecord"
	"github.com/turmericwall/turmericwall/review/second/twserver"
	"github.com/turmericwall/turmericwall/review/second/twstage"
)

const (
	// pieces is how many events a stream has.
	pieces = 70
	// engines is how many model engines there are, of which the first prefillEngines read prompts.
	engines, prefillEngines = 6, 2
	// crashes is how many engines crash, one each crashEvery, each for crashSpan.
	crashes    = 4
	crashSpan  = 4 * time.Second
	crashEvery = 6 * time.Second
	// arrivalGap is the time between two streams, over all clients.
	arrivalGap = 150 * time.Millisecond
)

func main() {
	config := twstage.Config{Machines: 3}
	for i := range engines {
		phase := "decode"
		if i < prefillEngines {
			phase = "prefill"
		}
		config.Servers = append(config.Servers, twstage.Server{
			ID: fmt.Sprintf("i-engine%d", i), Service: "summary",
			Arguments: []string{"--phase", phase, "--unframed", "--pieces", strconv.Itoa(pieces)},
		})
	}
	twstage.Main(config, play)
}

// play has engines crash one after the other while clients ask for streams.
func play(s *twstage.Stage) (broken bool, err error) {
	c := &clients{record: s.Record, daemons: s.Daemons}
	ended := make(chan struct{})
	go func() {
		c.send(crashes*crashEvery + 2*time.Second)
		close(ended)
	}()
	for i := range crashes {
		time.Sleep(crashEvery - crashSpan)
		server := s.Servers[prefillEngines+i%(engines-prefillEngines)]
		if s.Trouble {
			s.Record.Add("engine %s is killed", server.ID())
			server.Kill()
		}
		time.Sleep(crashSpan)
		if s.Trouble {
			if err := server.Restart(); err != nil {
				return false, err
			}
			s.Record.Add("engine %s starts again", server.ID())
		}
	}
	<-ended
	return c.judge()
}

// clients send streams and count how they end.
type clients struct {
	record  *twrecord.Record
	daemons []*twdaemons.Daemon
	open    sync.WaitGroup
	mu      sync.Mutex
	// whole are the streams that came whole, brokenOff those that were seen to be broken off, refused those that were answered with another
	// status, and short those that looked complete and were not.
	whole, brokenOff, refused, short int
}

// send sends streams for the span, and returns once all have ended.
func (c *clients) send(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(arrivalGap) {
		c.open.Go(func() { c.stream() })
	}
	c.open.Wait()
}

func (c *clients) stream() {
	id := fmt.Sprintf("%016x", rand.Uint64())
	route := "incident"
	if rand.IntN(2) == 0 {
		route = "day"
	}
	request := twserver.StreamRequest(c.daemons[rand.IntN(len(c.daemons))].Callers(), route, id)
	client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		c.count(&c.brokenOff, "%s %s ends without an answer: %v", route, id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.count(&c.refused, "%s %s is answered %d", route, id, response.StatusCode)
		return
	}
	var wanted strings.Builder
	for number := 1; number <= pieces; number++ {
		wanted.WriteString(twserver.Piece(id, number))
	}
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	events := strings.Count(string(body), "\n\n")
	switch {
	case err != nil:
		c.count(&c.brokenOff, "%s %s is broken off after %d of %d events: %v", route, id, events, pieces, err)
	case string(body) != wanted.String():
		c.count(&c.short, "%s %s ENDS AS COMPLETE after %d of %d events (status 200, signature %s, end of the chunked body seen)",
			route, id, events, pieces, response.Header.Get("X-Server-Signature"))
	default:
		c.count(&c.whole, "%s %s is whole", route, id)
	}
}

func (c *clients) count(counter *int, format string, arguments ...any) {
	c.mu.Lock()
	*counter++
	c.mu.Unlock()
	c.record.Add(format, arguments...)
}

func (c *clients) judge() (broken bool, err error) {
	c.record.Say("%d streams whole, %d seen to be broken off, %d refused, %d that ended as complete before their last piece",
		c.whole, c.brokenOff, c.refused, c.short)
	if c.whole == 0 {
		return false, errors.New("no stream was served")
	}
	return c.short > 0, nil
}
