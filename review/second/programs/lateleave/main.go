// Lateleave drains engines that are slow, while their handles lapse, and checks that nothing reaches a leaving engine later than drainMs after
// the store accepted that it leaves.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmericwall/turmericwall/review/second/twserver"
	"github.com/turmericwall/turmericwall/review/second/twstage"
)

const (
	// pieces is how many events a stream has.
	pieces = 70
	// engines is how many model engines there are, of which the first prefillEngines read prompts.
	engines, prefillEngines = 9, 3
	// first is what the first event of a stream takes at a sound engine, in addition to the time between two.
	first = 575 * time.Millisecond
	// cycles is how many engines are replaced, one after the other. Each is slow for slowSpan before it leaves, and serves for serveSpan
	// after the store has accepted that it leaves.
	cycles    = 6
	slowSpan  = 600 * time.Millisecond
	serveSpan = 4 * time.Second
	// drain is the deployment's drainMs.
	drain = 2 * time.Second
	// arrivalGap is the time between two streams, over all clients.
	arrivalGap = 45 * time.Millisecond
)

func server(number int, phase string) twstage.Server {
	return twstage.Server{
		ID: fmt.Sprintf("i-engine%d", number), Service: "summary",
		Arguments: []string{"--phase", phase, "--pieces", strconv.Itoa(pieces), "--first", first.String()},
	}
}

func main() {
	config := twstage.Config{Machines: 3}
	for i := range engines {
		phase := "decode"
		if i < prefillEngines {
			phase = "prefill"
		}
		config.Servers = append(config.Servers, server(i, phase))
	}
	twstage.Main(config, play)
}

// play replaces decode engines one after the other while clients ask for streams.
func play(s *twstage.Stage) (broken bool, err error) {
	c := &clients{stage: s, stop: make(chan struct{})}
	c.open.Go(c.send)
	left := make(map[string]time.Time)
	for i := range cycles {
		time.Sleep(3 * time.Second)
		if _, err := s.StartServer(server(engines+i, "decode")); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		leaving := s.Servers[prefillEngines+i]
		if s.Trouble {
			s.Record.Add("%s works four times as long", leaving.ID())
			if err := leaving.Signal(syscall.SIGUSR1); err != nil {
				return false, err
			}
		}
		time.Sleep(slowSpan)
		if s.Trouble {
			s.Record.Add("the handles of %s lapse at once", leaving.ID())
			if err := leaving.Signal(syscall.SIGUSR2); err != nil {
				return false, err
			}
		}
		if left[leaving.ID()], err = leaving.Drain(); err != nil {
			return false, err
		}
		s.Record.Add("the store accepts that %s leaves", leaving.ID())
		time.Sleep(serveSpan)
		leaving.Kill()
		s.Record.Add("%s ends", leaving.ID())
	}
	close(c.stop)
	c.open.Wait()
	return judge(s, c, left)
}

// clients send streams and count how they end.
type clients struct {
	stage        *twstage.Stage
	stop         chan struct{}
	open         sync.WaitGroup
	mu           sync.Mutex
	whole, other int
}

func (c *clients) send() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(arrivalGap):
			c.open.Go(c.stream)
		}
	}
}

func (c *clients) stream() {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request := twserver.StreamRequest(c.stage.Daemons[rand.IntN(len(c.stage.Daemons))].Callers(), "incident", id)
	client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	how := ""
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		how = fmt.Sprintf("status %d, %d events", response.StatusCode, strings.Count(string(body), "\n\n"))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && response.StatusCode == http.StatusOK {
		c.whole++
		return
	}
	c.other++
	c.stage.Record.Add("%s isn't served: %s, %v", id, how, err)
}

// judge looks for requests that reached an engine too late.
func judge(s *twstage.Stage, c *clients, left map[string]time.Time) (broken bool, err error) {
	log, err := os.Open(s.LogPath())
	if err != nil {
		return false, err
	}
	defer func() { _ = log.Close() }()
	late, requests := 0, make(map[string]bool)
	for lines := bufio.NewScanner(log); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 4 || words[2] != "gets" {
			continue
		}
		millis, _ := strconv.ParseInt(words[0], 10, 64)
		leftAt, isLeaving := left[words[1]]
		if after := time.UnixMilli(millis).Sub(leftAt); isLeaving && after > drain {
			late++
			requests[words[3]] = true
			s.Record.Add("BROKEN: %s reaches %s %.3f s after the store accepted that it leaves: %s", words[3], words[1], after.Seconds(),
				strings.Join(words[4:], " "))
		}
	}
	s.Record.Say("%d streams whole, %d not; %d arrivals of %d requests later than drainMs at engines that leave", c.whole, c.other, late, len(requests))
	if c.whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return late > 0, nil
}
