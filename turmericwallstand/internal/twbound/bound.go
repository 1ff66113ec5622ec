// Package twbound works out from a recorded run how many model calls a scheduler could have served on time that knew
// all arrivals and lengths in advance.
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
	// stepMillis is the grid on which memory and reading are counted: about one event of a stream.
	stepMillis = 50
	// maxLine bounds one line of a log, in bytes.
	maxLine = 1 << 20
	// returnSpan is how long after a refusal a call with the same prompt, hint and service is taken for its caller's
	// next attempt.
	returnSpan = 6 * time.Second
	// hops are the links that an event crosses: from the engine to the daemon and from there to the caller.
	hops = 2
)

// Config describes the engines of the recorded run.
type Config struct {
	// Decodes and Prefills are the engines of each role.
	Decodes, Prefills int
	// MemoryTokens is one engine's memory.
	MemoryTokens float64
	// ReadTokensPerMilli is how fast a prefill engine reads, AnswerTokensPerMilli how fast one answer grows.
	ReadTokensPerMilli, AnswerTokensPerMilli float64
	// TargetMillis is when the first event is due.
	TargetMillis float64
	// TokensPerEvent are in one event of a stream.
	TokensPerEvent int
	// PacketLoss is the share of packets that are lost. A lost packet comes again after 200 ms; where that is too late
	// for an event, its whole answer is late.
	PacketLoss float64
}

// Bound is the outcome, in calls and as shares of what the calls are worth.
type Bound struct {
	Calls, Fit int
	// Worth is the share that is on time when no packet is lost, Clean the share that is on time and loses none.
	Worth, Clean float64
}

// call is one caller's call with all its attempts.
type call struct {
	at            float64
	prompt, made  int
	hint, most    int
	service       string
	worth, demand float64
}

// Read works out the bound of the calls that the daemons' logs tell of.
func Read(config Config, logs io.Reader) (Bound, error) {
	calls, err := read(config, logs)
	if err != nil {
		return Bound{}, err
	}
	if len(calls) == 0 {
		return Bound{}, fmt.Errorf("no line tells of a model call; give the logs of all daemons of one run")
	}
	return newSchedule(config).fill(calls), nil
}

// line is what a daemon logs of an attempt's end.
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

func read(config Config, logs io.Reader) ([]*call, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var calls []*call
	for scanner.Scan() {
		if c, ok := parse(config, scanner.Text()); ok {
			calls = append(calls, c)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	return joined(calls), nil
}

func parse(config Config, text string) (*call, bool) {
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
		at: float64(ended.UnixMilli() - int64(l.Millis)), prompt: l.PromptTokens, made: l.Events * config.TokensPerEvent,
		hint: l.HintTokens, most: l.MaxTokens, service: l.Service,
	}, true
}

// joined makes one call of a caller's attempts: a caller that comes back sends the same prompt with the same hint. What no
// attempt made is taken from the hint.
func joined(attempts []*call) []*call {
	sort.SliceStable(attempts, func(i, j int) bool { return attempts[i].at < attempts[j].at })
	type key struct {
		prompt, hint int
		service      string
	}
	last := make(map[key]*call)
	var calls []*call
	for _, a := range attempts {
		k := key{a.prompt, a.hint, a.service}
		if before, ok := last[k]; ok && before.made == 0 && a.at-before.at < float64(returnSpan.Milliseconds()) {
			before.made = a.made
			continue
		}
		last[k] = a
		calls = append(calls, a)
	}
	for _, c := range calls {
		if c.made == 0 {
			c.made = min(c.hint, c.most)
		}
	}
	return calls
}

// schedule is the memory and the reading that are taken, by steps. All engines of a role are one: a scheduler that
// may spread each call over them as it likes does no better.
type schedule struct {
	config       Config
	memory, read []float64
	began        float64
}

func newSchedule(config Config) *schedule { return &schedule{config: config} }

// fill takes calls in the order of what they are worth for their memory over time.
func (s *schedule) fill(calls []*call) Bound {
	s.began = calls[0].at
	last := calls[len(calls)-1].at
	steps := int((last-s.began+s.longest(calls))/stepMillis) + 2
	s.memory, s.read = make([]float64, steps), make([]float64, steps)
	total := 0.0
	for _, c := range calls {
		c.worth = float64(c.prompt + c.made)
		c.demand = s.demand(c)
		total += c.worth
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].worth/calls[i].demand > calls[j].worth/calls[j].demand })
	bound := Bound{Calls: len(calls)}
	for _, c := range calls {
		if !s.take(c) {
			continue
		}
		bound.Fit++
		bound.Worth += c.worth / total
		events := float64(c.made)/float64(max(s.config.TokensPerEvent, 1)) + 1
		bound.Clean += c.worth / total * math.Pow(1-s.config.PacketLoss, hops*events)
	}
	return bound
}

func (s *schedule) longest(calls []*call) float64 {
	longest := 0.0
	for _, c := range calls {
		longest = math.Max(longest, s.answerMillis(c))
	}
	return longest + s.config.TargetMillis
}

func (s *schedule) answerMillis(c *call) float64 {
	return float64(c.made) / s.config.AnswerTokensPerMilli
}

// demand is the call's memory over time, in token milliseconds.
func (s *schedule) demand(c *call) float64 {
	span := s.answerMillis(c)
	return span * (float64(c.prompt) + float64(c.made)/2)
}

// take reads the call's prompt as early as there is room and holds its memory from its arrival on; false when it can't
// be on time.
func (s *schedule) take(c *call) bool {
	first := int((c.at - s.began) / stepMillis)
	due := int((c.at - s.began + s.config.TargetMillis) / stepMillis)
	perStep := float64(s.config.Prefills) * s.config.ReadTokensPerMilli * stepMillis
	parts := make(map[int]float64)
	left, step := float64(c.prompt), first
	for ; left > 0 && step < due; step++ {
		part := math.Min(left, math.Max(perStep-s.read[step], 0))
		parts[step] = part
		left -= part
	}
	if left > 0 || !s.fits(c, first, step) {
		return false
	}
	for at, part := range parts {
		s.read[at] += part
	}
	s.each(c, first, step, func(at int, tokens float64) { s.memory[at] += tokens })
	return true
}

func (s *schedule) fits(c *call, first, read int) bool {
	all := float64(s.config.Decodes) * s.config.MemoryTokens
	fit := true
	s.each(c, first, read, func(at int, tokens float64) { fit = fit && s.memory[at]+tokens <= all })
	return fit
}

// each visits the steps of the call, whose prompt is read at the step read, with the memory that it holds there.
func (s *schedule) each(c *call, first, read int, visit func(at int, tokens float64)) {
	last := read + int(s.answerMillis(c)/stepMillis)
	for at := first; at <= last && at < len(s.memory); at++ {
		grown := math.Max(0, float64(at-read)) * stepMillis * s.config.AnswerTokensPerMilli
		visit(at, float64(c.prompt)+grown)
	}
}
