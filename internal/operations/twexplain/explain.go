// Package twexplain reads from daemons' logs what happened to one request: the events of the request itself and, of the
// daemons that handled it, the events around that time that belong to no request.
package twexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/turmericwall/turmericwall"
)

// maxLineBytes bounds one line of a log, in bytes.
const maxLineBytes = 1 << 20

// contextSeconds is how long before the first and after the last line of the request other events of its daemons are
// shown.
const contextSeconds = 3

// Explanation holds the log lines that explain one request.
type Explanation struct {
	lines []line
	// end states how the request ended.
	end string
}

type line struct {
	time      string
	daemon    string
	message   string
	fields    map[string]any
	ofRequest bool
	// ofTry is set for the outcome of a later try that takes the request's stream up.
	ofTry bool
}

// Read reads the lines with the request's id and the other events of its daemons around that time. Lines without a JSON
// event and any text before the JSON are skipped. It fails when the logs can't be read or a line is over 1 MiB.
func Read(logs io.Reader, request string) (*Explanation, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var all []line
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			l.ofRequest = isOfRequest(l.fields, request)
			l.ofTry = l.fields["resumes"] == request
			all = append(all, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	return &Explanation{lines: selectLines(all), end: endOf(all)}, nil
}

// Found reports whether any line has the request's id.
func (e *Explanation) Found() bool { return len(e.lines) > 0 }

// Write writes one line for each event in the order of time, and then how the request ended. The events of the request
// itself are marked with an asterisk, the outcomes of tries that take its stream up with a plus sign.
func (e *Explanation) Write(out io.Writer) error {
	for _, l := range e.lines {
		mark := " "
		switch {
		case l.ofRequest:
			mark = "*"
		case l.ofTry:
			mark = "+"
		}
		if _, err := fmt.Fprintf(out, "%s %s %s %s %s\n", mark, l.time, l.daemon, l.message, formatFields(l.fields)); err != nil {
			return fmt.Errorf("write the explanation: %w", err)
		}
	}
	if _, err := fmt.Fprintln(out, "= "+e.end); err != nil {
		return fmt.Errorf("write the explanation: %w", err)
	}
	return nil
}

// parseLine decodes the JSON event in a line. It reports false if there is none or if it has no time or message.
func parseLine(text string) (line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		return line{}, false
	}
	l := line{fields: fields}
	l.time, _ = fields["time"].(string)
	l.daemon, _ = fields["daemon"].(string)
	l.message, _ = fields["message"].(string)
	return l, l.time != "" && l.message != ""
}

// isOfRequest reports whether the line has the request's id, alone or followed by the number of an attempt.
func isOfRequest(fields map[string]any, request string) bool {
	id, _ := fields["request"].(string)
	return id == request || strings.HasPrefix(id, request+"/")
}

// quarantines reports whether the line says why a refusal of the request names its key as quarantined.
func quarantines(l line, all []line) bool {
	key, _ := l.fields["key"].(string)
	if !l.is(turmericwall.EventQuarantineChanged) || key == "" {
		return false
	}
	for _, other := range all {
		if text, _ := other.fields["error"].(string); other.ofRequest && strings.Contains(text, " "+key+";") {
			return true
		}
	}
	return false
}

// selectLines returns the request's lines and, of the same daemons, those without a request id up to contextSeconds
// before and after them, sorted by time.
func selectLines(all []line) []line {
	first, last := "", ""
	daemons := make(map[string]bool)
	for _, l := range all {
		if !l.ofRequest {
			continue
		}
		daemons[l.daemon] = true
		if first == "" || l.time < first {
			first = l.time
		}
		last = max(last, l.time)
	}
	var selected []line
	for _, l := range all {
		_, hasRequest := l.fields["request"]
		if l.ofRequest || l.ofTry || quarantines(l, all) || (!hasRequest && daemons[l.daemon] &&
			l.time >= shiftTime(first, -contextSeconds) && l.time <= shiftTime(last, contextSeconds)) {
			selected = append(selected, l)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].time < selected[j].time })
	return selected
}

// formatFields returns the fields that are not shown otherwise as name=value, sorted by name.
func formatFields(fields map[string]any) string {
	var list []string
	for name, value := range fields {
		switch name {
		case "time", "daemon", "message", "level", "event":
			continue
		}
		list = append(list, fmt.Sprintf("%s=%v", name, value))
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}
