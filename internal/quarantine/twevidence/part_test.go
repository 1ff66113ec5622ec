package twevidence_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
)

// prompt returns the input of a request of its own with the parts.
func prompt(request string, parts ...string) turmericwall.Input {
	return turmericwall.Input{Service: "s", Request: request, Parts: parts}
}

// world has engines that end as they begin to write on the part "bad".
type world struct {
	*twevidence.Ledger
	now     time.Time
	engines int
	// requests numbers the requests, badEnds counts the ends under "bad".
	requests, badEnds int
	// progressAt is when an engine last wrote on each part.
	progressAt map[string]time.Time
}

func newWorld() *world {
	return &world{Ledger: twevidence.New(), now: start, progressAt: make(map[string]time.Time)}
}

// run runs an input on an engine, with others that have just begun there, and reports whether the engine ended.
func (w *world) run(input turmericwall.Input, beside ...turmericwall.Input) (ended bool) {
	w.now = w.now.Add(50 * time.Millisecond)
	for _, part := range input.Parts {
		ended = ended || part == "bad"
	}
	if !ended {
		w.progress(input)
		return false
	}
	w.badEnds++
	w.end(append(beside, input)...)
	return true
}

// end ends an engine that has just begun to answer the inputs.
func (w *world) end(inputs ...turmericwall.Input) {
	w.engines++
	for _, input := range inputs {
		w.RecordEnd(w.now, engine(w.engines), w.now, input, turmericwall.EndProved)
	}
	for part, at := range w.progressAt {
		w.RecordProgress(at, "s", part)
	}
}

func (w *world) progress(input turmericwall.Input) {
	for _, part := range input.Parts {
		w.progressAt[part] = w.now
		w.RecordProgress(w.now, input.Service, part)
	}
}

func (w *world) next(parts ...string) turmericwall.Input {
	w.requests++
	return prompt(fmt.Sprint("r", w.requests), parts...)
}

func (w *world) verdict(parts ...string) turmericwall.Verdict {
	return w.Judge(w.now, w.next(parts...)).Verdict
}

func TestPartIsQuarantinedByTheEndsUnderUnlikeRequests(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.run(w.next("first"))
	w.run(w.next("first", "bad"))
	g.Expect(w.verdict("first", "bad")).To(Equal(turmericwall.VerdictClear), "an engine may end by itself")
	w.run(w.next("first", "bad"))
	g.Expect(w.verdict("first", "bad")).To(Equal(turmericwall.VerdictSuspect))
	g.Expect(w.verdict("first", "other")).To(Equal(turmericwall.VerdictClear))
	w.run(w.next("first", "bad"))
	g.Expect(w.verdict("first", "bad")).To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(w.verdict("bad", "other")).To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(w.verdict("first")).To(Equal(turmericwall.VerdictClear))
	judged := w.Judge(w.now, w.next("first", "bad"))
	g.Expect(judged.String()).To(Equal("3 upstreams ended under part bad"))
	g.Expect(w.Lift("s", twevidence.KindPart, "bad")).To(BeTrue())
	g.Expect(w.verdict("first", "bad")).To(Equal(turmericwall.VerdictClear))
	g.Expect(w.Lift("s", twevidence.KindPart, "bad")).To(BeFalse())
}

// Guards against a sound part that is refused with the guilty one because both were in all ends and nothing else was served yet.
func TestPartsThatWereAlwaysTogetherAreToldApartByATrial(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	for range 3 {
		w.run(w.next("first", "bad"))
	}
	g.Expect(w.verdict("first", "bad")).To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(w.verdict("first", "other")).To(Equal(turmericwall.VerdictSuspect))
	w.run(w.next("first", "other"))
	g.Expect(w.verdict("first", "other")).To(Equal(turmericwall.VerdictClear))
	g.Expect(w.verdict("bad", "other")).To(Equal(turmericwall.VerdictQuarantined))
}

// Guards against a sound part that is blamed for one request which ends engines.
func TestPartOfARequestThatEndsEnginesStaysInUse(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	for range 3 {
		w.end(prompt("killer", "first", "second"))
		w.now = w.now.Add(time.Second)
	}
	g.Expect(w.Judge(w.now, prompt("killer", "first", "second")).Verdict).To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(w.verdict("first", "second")).To(Equal(turmericwall.VerdictSuspect))
	w.run(w.next("first", "second"))
	g.Expect(w.verdict("first", "second")).To(Equal(turmericwall.VerdictClear))
	g.Expect(w.Judge(w.now, prompt("killer", "first", "second")).Verdict).To(Equal(turmericwall.VerdictQuarantined))
}

// Guards against a part that is known as the cause too late, against requests with it that run on, and against sound ones that
// are refused beside it, whatever order and company the requests come in.
func TestGuiltyPartIsHeldToItsBound(t *testing.T) {
	const knownBy, mostLater = 5, 3
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		first := rapid.SampledFrom([]string{"first", "second"})
		middle := rapid.SampledFrom([]string{"", "a", "b", "c"})
		parts := func(more ...string) []string {
			list := []string{"all", first.Draw(t, "first")}
			if m := middle.Draw(t, "middle"); m != "" {
				list = append(list, m)
			}
			return append(list, more...)
		}
		served := rapid.Bool().Draw(t, "sound requests before")
		for range 4 * map[bool]int{true: 1}[served] {
			w.run(w.next(parts()...))
		}
		// Several run at once before anybody can know.
		for range rapid.IntRange(1, knownBy).Draw(t, "at once") {
			w.run(w.next(parts("bad")...), w.next(parts()...))
		}
		later, sound, refused := 0, 0, 0
		// beside returns what may run on the same engine as a suspect: nothing that is suspected itself.
		beside := func() []turmericwall.Input {
			if other := w.next(parts()...); w.Judge(w.now, other).Verdict == turmericwall.VerdictClear {
				return []turmericwall.Input{other}
			}
			return nil
		}
		for range 60 {
			input := w.next(parts()...)
			bad := rapid.IntRange(0, 2).Draw(t, "bad") == 0
			if bad {
				input = w.next(parts("bad")...)
			}
			verdict := w.Judge(w.now, input).Verdict
			switch {
			case bad && verdict != turmericwall.VerdictQuarantined:
				if w.badEnds >= knownBy {
					later++
				}
				w.run(input, beside()...)
			case !bad && verdict == turmericwall.VerdictQuarantined:
				sound, refused = sound+1, refused+1
			case !bad:
				sound++
				w.run(input)
			}
		}
		if later > mostLater {
			t.Fatalf("%d requests with the part ran after the end number %d", later, knownBy)
		}
		if refused > sound/10 {
			t.Fatalf("%d of %d sound requests were refused", refused, sound)
		}
	})
}

// Guards against sound parts that are put under suspicion by engines that end by themselves, also by many at once.
func TestEndsWithoutACausePutNoPartInUseUnderSuspicion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		part := rapid.SampledFrom([]string{"a", "b"})
		for _, name := range []string{"a", "b"} {
			w.run(w.next("all", name))
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for range rapid.IntRange(1, 3).Draw(t, "ends at once") {
				w.end(w.next("all", part.Draw(t, "part")))
			}
			for _, name := range []string{"a", "b"} {
				if w.verdict("all", name) != turmericwall.VerdictClear {
					t.Fatalf("%s is under suspicion", name)
				}
				w.run(w.next("all", name))
			}
		}
	})
}
