package twheadconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
	"github.com/turmericwall/turmericwall/internal/operations/twhead"
	"github.com/turmericwall/turmericwall/internal/operations/twheadconn"
)

// listener bounds the heads on its connections.
type listener struct {
	net.Listener
	memory  *twbudget.Budget
	mu      sync.Mutex
	refused []turmericwall.Limit
}

func (l *listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return twheadconn.New(twheadconn.Config{
		Conn: connection, Head: twhead.Config{MaxBytes: 64 << 10, MaxLines: 100, Memory: l.memory},
		OnRefused: func(_ net.Addr, err *turmericwall.LimitError) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.refused = append(l.refused, err.Limit)
		},
	}), nil
}

func (l *listener) limits() []turmericwall.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]turmericwall.Limit(nil), l.refused...)
}

// serve starts a server that answers with the length of the body.
func serve(t *testing.T, memory *twbudget.Budget) *listener {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &listener{Listener: inner, memory: memory}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		_, _ = io.WriteString(w, request.Header.Get("X-Mark")+strings.Repeat("b", len(body)/1000))
	})}
	twheadconn.Serve(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

// send sends the requests on one connection, and returns how many were answered with 200.
func send(t *testing.T, l *listener, requests ...string) int {
	t.Helper()
	connection, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(connection)
	answered := 0
	for _, request := range requests {
		_, _ = io.WriteString(connection, request)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode == http.StatusOK {
			answered++
		}
	}
	return answered
}

// Guards against a caller whose many headers take all memory of a daemon, and against bodies and later requests that count
// as heads.
func TestHeadsOfRequestsAreBounded(t *testing.T) {
	const line = "POST / HTTP/1.1\r\nHost: h\r\n"
	lines := strings.Repeat("\n\nx: y\n", 1000)
	good := line + "Content-Length: 7000\r\n\r\n" + lines
	many := line + strings.Repeat("A: b\r\n", 200) + "\r\n"
	for _, test := range []struct {
		name     string
		requests []string
		answered int
		refused  []turmericwall.Limit
	}{
		{"within", []string{good, good, good}, 3, nil},
		{"many headers", []string{many}, 0, []turmericwall.Limit{turmericwall.LimitHeadLines}},
		{"many headers later", []string{good, good, many, good}, 2, []turmericwall.Limit{turmericwall.LimitHeadLines}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			l := serve(t, nil)
			g.Expect(send(t, l, test.requests...)).To(Equal(test.answered))
			g.Expect(l.limits()).To(Equal(test.refused))
		})
	}
}

// Guards against large heads of all connections that together take a daemon's memory, or keep it.
func TestLargeHeadsOfRequestsShareTheirMemory(t *testing.T) {
	g := NewWithT(t)
	memory := twbudget.New(twbudget.Config{Bytes: 100 << 10})
	l := serve(t, memory)
	large := "GET / HTTP/1.1\r\nHost: h\r\nX-Large: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	g.Expect(send(t, l, large, large)).To(Equal(2))
	g.Eventually(memory.Held).Should(BeZero())
	g.Expect(send(t, l, strings.Replace(large, "x", strings.Repeat("x", 15<<10), 1))).To(BeZero())
	g.Expect(l.limits()).To(Equal([]turmericwall.Limit{turmericwall.LimitHeadMemory}))
	g.Expect(send(t, l, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")).To(Equal(1))
}
