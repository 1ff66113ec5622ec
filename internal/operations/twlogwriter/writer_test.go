package twlogwriter_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/turmericwall/turmericwall/internal/operations/twlogwriter"
)

func TestQueuedLinesAreWrittenBeforeRunReturns(t *testing.T) {
	g := NewWithT(t)
	w := twlogwriter.New()
	for i := range 5 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var out bytes.Buffer
	g.Expect(w.Run(ctx, &out)).To(Succeed())
	g.Expect(strings.Count(out.String(), "line")).To(BeNumerically(">=", 5))
}

// A blocked log output must not delay requests: Write drops and counts the lines that do not fit into the queue.
func TestWriteDoesNotBlockWhenTheQueueIsFull(t *testing.T) {
	g := NewWithT(t)
	w := twlogwriter.New()
	startedAt := time.Now()
	for range 5000 {
		_, _ = w.Write([]byte("line\n"))
	}
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
	g.Expect(w.Dropped()).To(BeNumerically(">", 3500))
}

func TestDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	w := twlogwriter.New()
	for range 3000 {
		_, _ = w.Write([]byte("line\n"))
	}
	ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer stop()
	var out bytes.Buffer
	g.Expect(w.Run(ctx, &out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("Log lines dropped"))
}

// Guards against a burst of other lines in which those of failed calls are dropped.
func TestWarningsAreNotDroppedInFavourOfOtherLines(t *testing.T) {
	g := NewWithT(t)
	w := twlogwriter.New()
	for range 3000 {
		_, _ = w.Write([]byte("line\n"))
	}
	for i := range 100 {
		_, _ = w.WriteLevel(zerolog.WarnLevel, fmt.Appendf(nil, "failed %d\n", i))
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var out bytes.Buffer
	g.Expect(w.Run(ctx, &out)).To(Succeed())
	g.Expect(strings.Count(out.String(), "failed")).To(Equal(100))
}
