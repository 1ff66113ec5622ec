// Package twbound computes, from the daemons' logs of a run, a bound on the model calls that could have been served
// on time: the calls that a scheduler would serve that knew all arrivals and lengths in advance. A run's result is
// compared with it.
package twbound

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"time"
)

const (
	// stepMillis is the length of a step, in which memory and prefill are accounted: about one event of a stream.
	stepMillis = 50
	// maxLineBytes is the maximum length of one line of a log.
	maxLineBytes = 1 << 20
	// retryWindow is how long after a refusal a call with the same prompt, hint and service counts as a retry of it.
	retryWindow = 6 * time.Second
	// linksPerEvent is the number of links that an event crosses: from the engine to the daemon, and from there to
	// the caller.
	linksPerEvent = 2
)

// Config describes the engines and the network of the recorded run.
type Config struct {
	// Decodes and Prefills are the numbers of engines of each role.
	Decodes, Prefills int
	// MemoryTokens is the memory of one engine, in tokens.
	MemoryTokens float64
	// PrefillTokensPerMilli is the rate of one prefill engine in tokens per millisecond, DecodeTokensPerMilli the
	// rate at which one answer grows.
	PrefillTokensPerMilli, DecodeTokensPerMilli float64
	// TargetMillis is the target for the time to the first event.
	TargetMillis float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// PacketLoss is the share of packets that are lost. A lost packet is retransmitted after 200 ms, which makes an
	// event, and with it its answer, late wherever the targets leave less.
	PacketLoss float64
}

// Bound is the computed bound, in calls and as shares of the calls' worth. A call is worth its prompt and answer
// tokens.
type Bound struct {
	// Calls is the number of calls in the logs, OnTimeCalls the number of those that fit on time.
	Calls, OnTimeCalls int
	// OnTimeShare is the share that is on time if no packet is lost, LossFreeShare the expected share that is on time
	// and loses no packet.
	OnTimeShare, LossFreeShare float64
}

// call is one caller's call with all its attempts. It arrived at the Unix time at, in milliseconds; demand is the
// memory that it holds over time, in token milliseconds.
type call struct {
	at                         float64
	promptTokens, answerTokens int
	hintTokens, maxTokens      int
	service                    string
	worth, demand              float64
}

// Compute returns the bound for the calls in the daemons' logs. It returns an error if the logs can't be read or
// report no model call.
func Compute(config Config, logs io.Reader) (Bound, error) {
	calls, err := readCalls(config, logs)
	if err != nil {
		return Bound{}, err
	}
	if len(calls) == 0 {
		return Bound{}, fmt.Errorf("no line reports a model call; give the logs of all daemons of one run")
	}
	return newSchedule(config).fill(calls), nil
}

// line is the part used here of the event that a daemon logs at the end of a call.
type line struct {
	Message      string `json:"message"`
	Time         string `json:"time"`
	Service      string `json:"service"`
	Millis       int    `json:"millis"`
	PromptTokens int    `json:"promptTokens"`
	HintTokens   int    `json:"hintTokens"`
	MaxTokens    int    `json:"maxTokens"`
	Events       int    `json:"events"`
}

func readCalls(config Config, logs io.Reader) ([]*call, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var calls []*call
	for scanner.Scan() {
		if c, ok := parseCall(config, scanner.Text()); ok {
			calls = append(calls, c)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	return mergeAttempts(calls), nil
}

// parseCall returns the call that a line of a log reports; false if it reports none.
func parseCall(config Config, text string) (*call, bool) {
	_, object, found := strings.Cut(text, "{")
	if !found {
		return nil, false
	}
	var l line
	if json.Unmarshal([]byte("{"+object), &l) != nil || !strings.HasPrefix(l.Message, "Request ") || l.PromptTokens == 0 {
		return nil, false
	}
	ended, err := time.Parse(time.RFC3339, l.Time)
	if err != nil {
		return nil, false
	}
	return &call{
		at: float64(ended.UnixMilli() - int64(l.Millis)), promptTokens: l.PromptTokens,
		answerTokens: l.Events * config.TokensPerEvent, hintTokens: l.HintTokens, maxTokens: l.MaxTokens, service: l.Service,
	}, true
}

// mergeAttempts merges a refused call and its retry within retryWindow into one call: a caller that retries sends the
// same prompt with the same hint. A call none of whose attempts was answered gets the hinted number of tokens as its
// answer, limited by its maximum.
func mergeAttempts(attempts []*call) []*call {
	sort.SliceStable(attempts, func(i, j int) bool { return attempts[i].at < attempts[j].at })
	type key struct {
		prompt, hint int
		service      string
	}
	last := make(map[key]*call)
	var calls []*call
	for _, a := range attempts {
		k := key{a.promptTokens, a.hintTokens, a.service}
		if previous, ok := last[k]; ok && previous.answerTokens == 0 &&
			a.at-previous.at < float64(retryWindow.Milliseconds()) {
			previous.answerTokens = a.answerTokens
			continue
		}
		last[k] = a
		calls = append(calls, a)
	}
	for _, c := range calls {
		if c.answerTokens == 0 {
			c.answerTokens = min(c.hintTokens, c.maxTokens)
		}
	}
	return calls
}

// schedule records the memory and the prefill tokens that are reserved in each step. All engines of a role count as one
// large engine: a scheduler that may spread each call over the engines as it likes can do no better.
type schedule struct {
	config          Config
	memory, prefill []float64
	startMillis     float64
}

func newSchedule(config Config) *schedule { return &schedule{config: config} }

// fill places the calls in the order of their worth per memory over time, and returns what fits.
func (s *schedule) fill(calls []*call) Bound {
	s.startMillis = calls[0].at
	last := calls[len(calls)-1].at
	steps := int((last-s.startMillis+s.longestMillis(calls))/stepMillis) + 2
	s.memory, s.prefill = make([]float64, steps), make([]float64, steps)
	total := 0.0
	for _, c := range calls {
		c.worth = float64(c.promptTokens + c.answerTokens)
		c.demand = s.demand(c)
		total += c.worth
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].worth/calls[i].demand > calls[j].worth/calls[j].demand })
	bound := Bound{Calls: len(calls)}
	for _, c := range calls {
		if !s.place(c) {
			continue
		}
		bound.OnTimeCalls++
		bound.OnTimeShare += c.worth / total
		events := float64(c.answerTokens)/float64(max(s.config.TokensPerEvent, 1)) + 1
		bound.LossFreeShare += c.worth / total * math.Pow(1-s.config.PacketLoss, linksPerEvent*events)
	}
	return bound
}

// longestMillis returns the longest time that a call can hold memory.
func (s *schedule) longestMillis(calls []*call) float64 {
	longest := 0.0
	for _, c := range calls {
		longest = math.Max(longest, s.answerMillis(c))
	}
	return longest + s.config.TargetMillis
}

func (s *schedule) answerMillis(c *call) float64 {
	return float64(c.answerTokens) / s.config.DecodeTokensPerMilli
}

// demand returns the memory that the call holds over time, in token milliseconds.
func (s *schedule) demand(c *call) float64 {
	span := s.answerMillis(c)
	return span * (float64(c.promptTokens) + float64(c.answerTokens)/2)
}

// place reserves prefill for the call's prompt as early as possible, and memory from its arrival on. It returns false
// and reserves nothing if the call can't be on time.
func (s *schedule) place(c *call) bool {
	first := int((c.at - s.startMillis) / stepMillis)
	due := int((c.at - s.startMillis + s.config.TargetMillis) / stepMillis)
	perStep := float64(s.config.Prefills) * s.config.PrefillTokensPerMilli * stepMillis
	parts := make(map[int]float64)
	left, step := float64(c.promptTokens), first
	for ; left > 0 && step < due; step++ {
		part := math.Min(left, math.Max(perStep-s.prefill[step], 0))
		parts[step] = part
		left -= part
	}
	if left > 0 || !s.fits(c, first, step) {
		return false
	}
	for at, part := range parts {
		s.prefill[at] += part
	}
	s.forEachStep(c, first, step, func(at int, tokens float64) { s.memory[at] += tokens })
	return true
}

// fits reports whether there is memory for the call in all its steps.
func (s *schedule) fits(c *call, first, prefilled int) bool {
	all := float64(s.config.Decodes) * s.config.MemoryTokens
	fit := true
	s.forEachStep(c, first, prefilled, func(at int, tokens float64) { fit = fit && s.memory[at]+tokens <= all })
	return fit
}

// forEachStep visits the steps in which the call holds memory, with the tokens held. The prompt's prefill ends at step
// prefilled, from which on the answer grows.
func (s *schedule) forEachStep(c *call, first, prefilled int, visit func(at int, tokens float64)) {
	last := prefilled + int(s.answerMillis(c)/stepMillis)
	for at := first; at <= last && at < len(s.memory); at++ {
		grown := math.Max(0, float64(at-prefilled)) * stepMillis * s.config.DecodeTokensPerMilli
		visit(at, float64(c.promptTokens)+grown)
	}
}
