package tweventbuffer_test

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/delivery/tweventbuffer"
)

// caller records what arrives with each write.
type caller struct {
	http.ResponseWriter
	mu     sync.Mutex
	writes []string
	err    error
}

func (c *caller) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

func (c *caller) Flush() {}

func (c *caller) received() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.writes...)
}

const hold = 80 * time.Millisecond

// Guards against a packet for each event, of which one is lost in every tenth stream, and against an event that waits
// for the next one, which may come seconds later.
func TestEventsAreGroupedAndNeverWaitForTheNextOne(t *testing.T) {
	g := NewWithT(t)
	c := &caller{}
	b := tweventbuffer.New(tweventbuffer.Config{Writer: c, MaxHold: hold})
	g.Expect(b.Write([]byte("1"))).To(Succeed())
	g.Expect(c.received()).To(Equal([]string{"1"}), "the first event is written at once")
	g.Expect(b.Write([]byte("2"))).To(Succeed())
	g.Expect(b.Write([]byte("3"))).To(Succeed())
	g.Expect(c.received()).To(HaveLen(1))
	g.Eventually(c.received, "300ms", "5ms").Should(Equal([]string{"1", "23"}))
	time.Sleep(2 * hold)
	g.Expect(b.Write([]byte("4"))).To(Succeed())
	g.Expect(c.received()).To(Equal([]string{"1", "23", "4"}), "an event after a pause is written at once")
	g.Expect(b.Write([]byte("5"))).To(Succeed())
	g.Expect(b.Close([]byte("rest"))).To(Succeed())
	g.Expect(c.received()).To(Equal([]string{"1", "23", "4", "5rest"}))
	time.Sleep(2 * hold)
	g.Expect(c.received()).To(HaveLen(4), "nothing is written after the end of the request")
}

func TestEventsAreWrittenAtOnceWithoutHold(t *testing.T) {
	g := NewWithT(t)
	c := &caller{}
	b := tweventbuffer.New(tweventbuffer.Config{Writer: c})
	for _, event := range []string{"1", "2", "3"} {
		g.Expect(b.Write([]byte(event))).To(Succeed())
	}
	g.Expect(c.received()).To(Equal([]string{"1", "2", "3"}))
}

// Guards against a stream that continues to be decoded after its caller has left.
func TestFailedWriteIsReportedByTheNextOne(t *testing.T) {
	g := NewWithT(t)
	c := &caller{}
	b := tweventbuffer.New(tweventbuffer.Config{Writer: c, MaxHold: hold})
	g.Expect(b.Write([]byte("1"))).To(Succeed())
	c.mu.Lock()
	c.err = errors.New("caller left")
	c.mu.Unlock()
	g.Expect(b.Write([]byte("2"))).To(Succeed())
	time.Sleep(2 * hold)
	g.Expect(b.Write([]byte("3"))).To(MatchError("caller left"))
	g.Expect(b.Close(nil)).To(MatchError("caller left"))
}

// Guards against an engine that writes faster than its caller reads, and fills the daemon's memory while events are held back.
func TestOnlyFewBytesAreHeldBack(t *testing.T) {
	g := NewWithT(t)
	c := &caller{}
	b := tweventbuffer.New(tweventbuffer.Config{Writer: c, MaxHold: time.Minute})
	event := strings.Repeat("x", 10<<10)
	g.Expect(b.Write([]byte("1"))).To(Succeed())
	g.Expect(b.Write([]byte(event))).To(Succeed())
	g.Expect(c.received()).To(HaveLen(1))
	g.Expect(b.Write([]byte(event + "2"))).To(Succeed())
	g.Expect(strings.Join(c.received(), "")).To(Equal("1" + event + event + "2"))
	g.Expect(b.Write([]byte("3"))).To(Succeed())
	g.Expect(b.Close([]byte(event + event))).To(Succeed())
	g.Expect(strings.Join(c.received(), "")).To(Equal("1" + event + event + "23" + event + event))
}
