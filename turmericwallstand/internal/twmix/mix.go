// Package twmix generates the requests of an example deployment's mix of work for load runs: their arrival times,
// prompts and lengths. The same seed gives the same requests.
package twmix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Mix generates requests. It is not safe for concurrent use.
type Mix struct {
	random *rand.Rand
	kinds  []kind
	total  float64
}

// Request is one request of the mix.
type Request struct {
	// After is the time of arrival, counted from the start of the run.
	After time.Duration
	// Work is the kind of work. A Plain request is a call of the plain service and has no prompt.
	Work       string
	Plain      bool
	Deferrable bool
	// Worth is the value of an answer in time, as in the deployment's document.
	Worth     float64
	Prompt    string
	MaxTokens int
	// FirstTokenMillis and TokenGapMillis are the targets of urgent work; 0 means no target.
	FirstTokenMillis float64
	TokenGapMillis   float64
}

// kind describes one kind of work of a mix.
type kind struct {
	work string
	// share is the kind's share of all requests, in proportion to the other kinds'.
	share        float64
	deferrable   bool
	plain        bool
	worth        float64
	promptTokens tokenRange
	answerTokens tokenRange
	// prefixes is the number of different prefixes of the kind's prompts; prefixShare is the prefix's share of a
	// prompt's length.
	prefixes    int
	prefixShare float64
}

// tokenRange is a range of token counts, both ends included.
type tokenRange struct{ low, high int }

// Targets of urgent work, and the parameters of prompts and of the sample for MeanTokens.
const (
	firstTokenMillis = 1200
	tokenGapMillis   = 54
	bytesPerToken    = 4
	sampleRequests   = 4000
)

// arriola returns the kinds of work of Arriola: visitors wait at the counter, and dossiers are deferrable.
func arriola() []kind {
	return []kind{
		{
			work: "counter", share: 0.78, worth: 5, promptTokens: tokenRange{60, 900}, answerTokens: tokenRange{30, 90},
			prefixes: 60, prefixShare: 0.6,
		},
		{
			work: "dossier", share: 0.12, worth: 2, deferrable: true, promptTokens: tokenRange{3000, 9000},
			answerTokens: tokenRange{80, 160}, prefixes: 20, prefixShare: 0.9,
		},
		{work: "counter", share: 0.10, worth: 5, plain: true},
	}
}

// sonnenmatt returns the kinds of work of Sonnenmatt: parents wait at the door, and notes have to be ready before
// pickup.
func sonnenmatt() []kind {
	return []kind{
		{
			work: "diary", share: 0.50, worth: 4, promptTokens: tokenRange{200, 1200}, answerTokens: tokenRange{30, 80},
			prefixes: 120, prefixShare: 0.7,
		},
		{
			work: "pickup", share: 0.35, worth: 3, promptTokens: tokenRange{800, 3000}, answerTokens: tokenRange{80, 160},
			prefixes: 120, prefixShare: 0.8,
		},
		{
			work: "archive", share: 0.05, worth: 1, deferrable: true, promptTokens: tokenRange{2000, 6000},
			answerTokens: tokenRange{60, 120}, prefixes: 20, prefixShare: 0.8,
		},
		{work: "diary", share: 0.10, worth: 4, plain: true},
	}
}

// New returns the mix of the deployment, arriola or sonnenmatt; the seed determines its requests.
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

// Arrivals returns the requests that arrive before the end in a Poisson process with the mean rate.
func (m *Mix) Arrivals(perSecond float64, end time.Duration) []Request {
	var requests []Request
	at := time.Duration(0)
	for {
		at += time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= end {
			return requests
		}
		r := m.nextRequest()
		r.After = at
		requests = append(requests, r)
	}
}

// MeanTokens returns the mean numbers of prompt and answer tokens of a request, estimated from a sample with seed 0.
func MeanTokens(deployment string) (prompt, answer float64, err error) {
	m, err := New(deployment, 0)
	if err != nil {
		return 0, 0, err
	}
	for range sampleRequests {
		r := m.nextRequest()
		prompt += float64(len(r.Prompt)) / bytesPerToken / sampleRequests
		answer += float64(r.MaxTokens) / sampleRequests
	}
	return prompt, answer, nil
}

func (m *Mix) nextRequest() Request {
	k := m.chooseKind()
	r := Request{Work: k.work, Plain: k.plain, Deferrable: k.deferrable, Worth: k.worth}
	if k.plain {
		return r
	}
	r.MaxTokens = m.drawTokens(k.answerTokens)
	r.Prompt = m.buildPrompt(k, m.drawTokens(k.promptTokens))
	if !k.deferrable {
		r.FirstTokenMillis, r.TokenGapMillis = firstTokenMillis, tokenGapMillis
	}
	return r
}

// chooseKind returns a random kind, weighted by the kinds' shares.
func (m *Mix) chooseKind() kind {
	point := m.random.Float64() * m.total
	for _, k := range m.kinds {
		if point < k.share {
			return k
		}
		point -= k.share
	}
	return m.kinds[0]
}

func (m *Mix) drawTokens(s tokenRange) int { return s.low + m.random.IntN(s.high-s.low+1) }

// buildPrompt returns a prompt that starts with one of the kind's prefixes, so that engines can reuse their prompt
// cache, and ends with text that no other request has.
func (m *Mix) buildPrompt(k kind, tokens int) string {
	subject := m.random.IntN(k.prefixes)
	length := tokens * bytesPerToken
	shared := int(float64(length) * k.prefixShare)
	return repeatTo(fmt.Sprintf("%s subject %d: ", k.work, subject), shared) +
		repeatTo(fmt.Sprintf("request %d: ", m.random.Uint64()), length-shared)
}

// repeatTo repeats the text up to the length in bytes.
func repeatTo(text string, length int) string {
	if length <= 0 {
		return ""
	}
	return strings.Repeat(text, length/len(text)+1)[:length]
}
