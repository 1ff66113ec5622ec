// Package twmix makes the requests of a deployment's mix of work, the same for the same seed.
package twmix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Mix makes requests.
type Mix struct {
	random *rand.Rand
	kinds  []kind
	total  float64
}

// Request is one request of the mix.
type Request struct {
	// After is when it arrives, counted from the start.
	After time.Duration
	// Work is the kind of work; Plain requests go to the plain service instead.
	Work       string
	Plain      bool
	Deferrable bool
	Worth      float64
	Prompt     string
	MaxTokens  int
	// FirstTokenMillis and TokenGapMillis are the targets of urgent work.
	FirstTokenMillis float64
	TokenGapMillis   float64
}

// kind describes one kind of work of a mix.
type kind struct {
	work         string
	share        float64
	deferrable   bool
	plain        bool
	worth        float64
	promptTokens span
	answerTokens span
	// subjects is how many different prefixes the kind has; shared is the prefix's share of a prompt.
	subjects int
	shared   float64
}

type span struct{ low, high int }

// Targets of urgent work.
const (
	firstTokenMillis = 1200
	tokenGapMillis   = 54
	bytesPerToken    = 4
	sampleSize       = 4000
)

// Arriola's visitors wait at the counter; its dossiers may wait.
func arriola() []kind {
	return []kind{
		{work: "counter", share: 0.78, worth: 5, promptTokens: span{60, 900}, answerTokens: span{30, 90}, subjects: 60, shared: 0.6},
		{work: "dossier", share: 0.12, worth: 2, deferrable: true, promptTokens: span{3000, 9000}, answerTokens: span{80, 160}, subjects: 20, shared: 0.9},
		{work: "counter", share: 0.10, worth: 5, plain: true},
	}
}

// Sonnenmatt's parents wait at the door; the notes must be there before pickup.
func sonnenmatt() []kind {
	return []kind{
		{work: "diary", share: 0.50, worth: 4, promptTokens: span{200, 1200}, answerTokens: span{30, 80}, subjects: 120, shared: 0.7},
		{work: "pickup", share: 0.35, worth: 3, promptTokens: span{800, 3000}, answerTokens: span{80, 160}, subjects: 120, shared: 0.8},
		{work: "archive", share: 0.05, worth: 1, deferrable: true, promptTokens: span{2000, 6000}, answerTokens: span{60, 120}, subjects: 20, shared: 0.8},
		{work: "diary", share: 0.10, worth: 4, plain: true},
	}
}

// New returns the deployment's mix.
func New(deployment string, seed uint64) (*Mix, error) {
	kinds := map[string][]kind{"arriola": arriola(), "sonnenmatt": sonnenmatt()}[deployment]
	if kinds == nil {
		return nil, fmt.Errorf("no mix for %q; use arriola or sonnenmatt", deployment)
	}
	m := &Mix{random: rand.New(rand.NewPCG(seed, 1)), kinds: kinds}
	for _, k := range kinds {
		m.total += k.share
	}
	return m, nil
}

// Arrivals returns the requests of a Poisson process at the rate, until the end.
func (m *Mix) Arrivals(perSecond float64, end time.Duration) []Request {
	var requests []Request
	at := time.Duration(0)
	for {
		at += time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= end {
			return requests
		}
		r := m.next()
		r.After = at
		requests = append(requests, r)
	}
}

// Means returns the mean prompt and answer tokens of a request, from a sample of its own.
func Means(deployment string) (prompt, answer float64, err error) {
	m, err := New(deployment, 0)
	if err != nil {
		return 0, 0, err
	}
	for range sampleSize {
		r := m.next()
		prompt += float64(len(r.Prompt)) / bytesPerToken / sampleSize
		answer += float64(r.MaxTokens) / sampleSize
	}
	return prompt, answer, nil
}

func (m *Mix) next() Request {
	k := m.choose()
	r := Request{Work: k.work, Plain: k.plain, Deferrable: k.deferrable, Worth: k.worth}
	if k.plain {
		return r
	}
	r.MaxTokens = m.between(k.answerTokens)
	r.Prompt = m.prompt(k, m.between(k.promptTokens))
	if !k.deferrable {
		r.FirstTokenMillis, r.TokenGapMillis = firstTokenMillis, tokenGapMillis
	}
	return r
}

func (m *Mix) choose() kind {
	at := m.random.Float64() * m.total
	for _, k := range m.kinds {
		if at < k.share {
			return k
		}
		at -= k.share
	}
	return m.kinds[0]
}

func (m *Mix) between(s span) int { return s.low + m.random.IntN(s.high-s.low+1) }

// prompt starts with the text of one of the kind's subjects and ends with text of its own.
func (m *Mix) prompt(k kind, tokens int) string {
	subject := m.random.IntN(k.subjects)
	length := tokens * bytesPerToken
	shared := int(float64(length) * k.shared)
	return fill(fmt.Sprintf("%s subject %d: ", k.work, subject), shared) +
		fill(fmt.Sprintf("request %d: ", m.random.Uint64()), length-shared)
}

func fill(text string, length int) string {
	if length <= 0 {
		return ""
	}
	return strings.Repeat(text, length/len(text)+1)[:length]
}
