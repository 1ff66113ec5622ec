// Fullhouse sends the usual traffic of a small deployment over kept connections, removes all machines but one, and checks that the one
// which is left goes on to take new connections while it says that it is ready.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall/review/second/twdaemons"
	"github.com/turmericwall/turmericwall/review/second/twrecord"
	"github.com/turmericwall/turmericwall/review/second/twserver"
	"github.com/turmericwall/turmericwall/review/second/twstage"
)

const (
	machines = 9
	// A user sends a request each userGap on a kept connection, less than four fifths of the idle limit of 15 s. So many users make the
	// deployment's usual traffic of 91 requests a second.
	userGap = 11500 * time.Millisecond
	users   = 1050
	// newcomers are the clients that open new connections at the end, each at intervals of newcomerGap over newcomerSpan.
	newcomers    = 10
	newcomerGap  = 250 * time.Millisecond
	newcomerSpan = 25 * time.Second
	// contact is the deployment's contactMs.
	contact = 3 * time.Second
	// minNewcomers is how many clients must have tried.
	minNewcomers = 7
)

func main() {
	config := twstage.Config{Machines: machines}
	for i := range 3 {
		config.Servers = append(config.Servers, twstage.Server{ID: fmt.Sprintf("i-diary%d", i), Service: "diary"})
	}
	twstage.Main(config, play)
}

// play removes the machines, lets the users come, and then newcomers.
func play(s *twstage.Stage) (broken bool, err error) {
	left := s.Daemons
	if s.Trouble {
		for _, d := range s.Daemons[1:] {
			d.Kill()
		}
		left = s.Daemons[:1]
		s.Record.Add("%d of %d machines are gone", machines-1, machines)
		time.Sleep(contact + time.Second)
	}
	h := &house{record: s.Record, daemons: left, stop: make(chan struct{})}
	for i := range users {
		h.open.Go(func() { h.user(i) })
		time.Sleep(userGap / users)
	}
	s.Record.Add("%d users have come; each sends a request every %v on its connection", users, userGap)
	// Nothing else happens for longer than contactMs before the newcomers come.
	time.Sleep(contact + time.Second)
	s.Record.Add("newcomers begin to open connections; served so far %d, failed %d", h.served.Load(), h.failed.Load())
	spans := h.welcome()
	close(h.stop)
	h.open.Wait()
	return h.judge(spans)
}

// house is what the clients see.
type house struct {
	record         *twrecord.Record
	daemons        []*twdaemons.Daemon
	open           sync.WaitGroup
	stop           chan struct{}
	served, failed atomic.Int64
}

func (h *house) pick(i int) string { return h.daemons[i%len(h.daemons)].Callers() }

// user sends requests on one connection, and opens another one once that is closed.
func (h *house) user(i int) {
	for {
		connection, err := net.DialTimeout("tcp4", h.pick(i), time.Second)
		if err != nil {
			h.failed.Add(1)
			if !h.wait(userGap) {
				return
			}
			continue
		}
		reader := bufio.NewReader(connection)
		for err == nil {
			if err = request(connection, reader); err == nil {
				h.served.Add(1)
			} else {
				h.failed.Add(1)
			}
			if !h.wait(userGap) {
				_ = connection.Close()
				return
			}
		}
		_ = connection.Close()
	}
}

func (h *house) wait(span time.Duration) bool {
	select {
	case <-h.stop:
		return false
	case <-time.After(span):
		return true
	}
}

// request sends one look-up on the connection and reads its answer.
func request(connection net.Conn, reader *bufio.Reader) error {
	id := fmt.Sprintf("%016x", rand.Uint64())
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(connection, "GET /read/%s HTTP/1.1\r\nHost: diary.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 600\r\n\r\n", id, id)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err == nil && response.StatusCode == http.StatusOK && string(body) != twserver.Body(id) {
		return errors.New("a wrong body")
	}
	return err
}

// span is a time in which one machine took no new connection though it said that it was ready.
type span struct {
	daemon string
	length time.Duration
	tried  int
}

// welcome lets newcomers open new connections at each machine, and returns the longest time for each in which none was taken while the
// machine said that it was ready.
func (h *house) welcome() []span {
	spans := make([]span, len(h.daemons))
	var open sync.WaitGroup
	for i, d := range h.daemons {
		open.Go(func() { spans[i] = h.welcomeAt(d) })
	}
	open.Wait()
	return spans
}

func (h *house) welcomeAt(d *twdaemons.Daemon) span {
	longest := span{daemon: d.Name}
	since, tried := time.Now(), make(map[int]bool)
	for began := time.Now(); time.Since(began) < newcomerSpan; time.Sleep(newcomerGap) {
		ready := d.IsReady()
		taken, lastErr := false, error(nil)
		for client := range newcomers {
			connection, err := net.DialTimeout("tcp4", d.Callers(), time.Second)
			if err == nil {
				err = request(connection, bufio.NewReader(connection))
				_ = connection.Close()
			}
			taken = taken || err == nil
			if err != nil {
				lastErr = err
			}
			tried[client] = true
		}
		h.record.Add("%s: ready %v, a new connection was taken %v, last error: %v", d.Name, ready, taken, lastErr)
		if taken || !ready {
			since, tried = time.Now(), make(map[int]bool)
			continue
		}
		if length := time.Since(since); length > longest.length {
			longest.length, longest.tried = length, len(tried)
		}
	}
	return longest
}

func (h *house) judge(spans []span) (broken bool, err error) {
	h.record.Say("requests of the users: %d served, %d failed", h.served.Load(), h.failed.Load())
	for _, s := range spans {
		if s.length >= contact && s.tried >= minNewcomers {
			broken = true
		}
		h.record.Say("%s: said that it was ready and took no new connection for %.1f s at most, while %d clients tried", s.daemon,
			s.length.Seconds(), s.tried)
	}
	if h.served.Load() == 0 {
		return false, errors.New("no request was served")
	}
	return broken, nil
}
