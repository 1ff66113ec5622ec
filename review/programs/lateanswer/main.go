// Command lateanswer shows what becomes of runs that are moved off a leaving engine that sends an answer a second time.
package main

import (
	"os"
	"time"

	"github.com/turmericwall/turmericwall/review/internal/twstandin"
)

const (
	// span is how long requests are sent, and releaseGap the time between two engines that leave.
	span, releaseGap = 102 * time.Second, 2200 * time.Millisecond
	// handoverSpan is how long an engine's replacement runs before it leaves, and lingerSpan how long it serves after that.
	handoverSpan, lingerSpan = 1500 * time.Millisecond, 4 * time.Second
	// maxLateShare is the largest share of an engine's answers that are sent twice.
	maxLateShare = 0.03
)

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	os.Exit(twstandin.Run(twstandin.SiteConfig{
		RecordPath: os.Args[1], Daemons: 3, Prefills: 4, Decodes: 4, EventInterval: 50 * time.Millisecond,
		HasLateAnswer: func(e *twstandin.Engine) bool { return trouble && hasLateAnswer(e) },
	}, play))
}

// hasLateAnswer picks the answers that are sent twice: those of a leaving engine.
func hasLateAnswer(e *twstandin.Engine) bool {
	answers, late := e.Answers()
	return e.IsLeaving() && float64(late+1) <= maxLateShare*float64(answers)
}

// play sends short and long streams, and replaces the decode engines one after the other.
func play(s *twstandin.Site) {
	until := time.Now().Add(span)
	nextRelease := time.Now().Add(releaseGap)
	for time.Now().Before(until) {
		for range 5 {
			s.Send(4, 460)
		}
		s.Send(60, 1460)
		time.Sleep(45 * time.Millisecond)
		if time.Now().Before(nextRelease) {
			continue
		}
		nextRelease = time.Now().Add(releaseGap)
		s.AddDecode()
		leaving := s.TakeDecode("")
		time.AfterFunc(handoverSpan, func() { leaving.Leave(lingerSpan) })
	}
}
