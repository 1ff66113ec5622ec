// Package tweventlog writes a daemon's numbered log events as JSON lines, as docs/EVENTS.md lists them. Events that
// carry a request id are also kept in a trace, from which operators can have one request explained.
package tweventlog

import (
	"io"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twtrace"
)

// requestField is the field with the request id, by which lines are assigned to a request.
const requestField = "request"

// Log writes one line for each recorded event.
type Log struct {
	logger zerolog.Logger
	trace  *twtrace.Trace
}

// Config holds the output, the level and the trace of a log.
type Config struct {
	Output io.Writer
	// Daemon is the daemon's name, which is written into each line.
	Daemon string
	// Level is the lowest level that is written: debug, info, warn or error. Failures have the level warn, other events
	// info.
	Level string
	// Trace receives the lines of requests; it may be nil.
	Trace *twtrace.Trace
}

// New returns a log; an empty or unknown level is taken as info.
func New(config Config) *Log {
	level, err := zerolog.ParseLevel(config.Level)
	if err != nil || config.Level == "" {
		level = zerolog.InfoLevel
	}
	logger := zerolog.New(config.Output).Level(level).Hook(timestampHook{}).With().Str("daemon", config.Daemon).Logger()
	return &Log{logger: logger, trace: config.Trace}
}

// Record starts the line of an event; Send writes it.
func (l *Log) Record(event turmericwall.EventID) turmericwall.LogEntry {
	level := zerolog.InfoLevel
	if event.IsFailure() {
		level = zerolog.WarnLevel
	}
	return &entry{trace: l.trace, event: l.logger.WithLevel(level).Int("event", int(event)), id: event}
}

// timestampHook adds the time in UTC. It has milliseconds, since the decisions on a request follow each other within a
// second.
type timestampHook struct{}

const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// Run adds the time to an event.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeLayout))
}

// entry is one event whose fields are being collected.
type entry struct {
	trace   *twtrace.Trace
	event   *zerolog.Event
	id      turmericwall.EventID
	request string
	fields  []string
}

func (e *entry) Str(key, value string) turmericwall.LogEntry {
	e.event.Str(key, value)
	if key == requestField {
		e.request = value
		return e
	}
	return e.addTraceField(key, value)
}

func (e *entry) Int(key string, value int64) turmericwall.LogEntry {
	e.event.Int64(key, value)
	return e.addTraceField(key, strconv.FormatInt(value, 10))
}

func (e *entry) Float(key string, value float64) turmericwall.LogEntry {
	e.event.Float64(key, value)
	return e.addTraceField(key, strconv.FormatFloat(value, 'g', -1, 64))
}

func (e *entry) Err(err error) turmericwall.LogEntry {
	e.event.Err(err)
	if err == nil {
		return e
	}
	return e.addTraceField("error", err.Error())
}

func (e *entry) Send() {
	e.event.Msg(e.id.String())
	if e.request == "" || e.trace == nil {
		return
	}
	e.trace.Add(e.request, twtrace.Line{At: time.Now(), Event: int(e.id), Name: e.id.String(), Fields: e.fields})
}

// addTraceField adds a field to the event's line in the trace.
func (e *entry) addTraceField(key, value string) turmericwall.LogEntry {
	e.fields = append(e.fields, key+"="+value)
	return e
}
