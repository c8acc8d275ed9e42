// Package trace finds the way of one request through the logs of all VMs.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"sort"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event int       `json:"event"`
	Name  string    `json:"name"`
	Cause string    `json:"cause,omitempty"`
	Text  string    `json:"text"`

	fields map[string]any
}

// Trace is what the logs say of one request.
type Trace struct {
	Request string `json:"request"`
	// Lines name the request, in the order of time.
	Lines []Line `json:"lines"`
	// Outcome is the line that ended the request; nil if there is none.
	Outcome *Line `json:"deciding,omitempty"`
	// Related are other decisions that bear on it: on its servers, on its key
	// and on the VM that took it, shortly before its end.
	Related []Line `json:"around"`
}

// before is how long before a request's end other decisions bear on it.
const before = 5 * time.Second

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// ErrNotFound says that no line names the request.
var ErrNotFound = errors.New("no line names the request; successes are sampled, and a full output loses lines")

// Read returns the lines of a log. What is no line of JSON is passed over, and
// so is text before the JSON.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		if line, ok := parse(text[at:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text string) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	line := Line{Text: text, fields: fields, VM: word(fields, "vm"), Name: word(fields, "msg"), Cause: word(fields, "cause")}
	when, err := time.Parse(time.RFC3339Nano, word(fields, "ts"))
	if err != nil {
		return Line{}, false
	}
	number, _ := fields["event"].(float64) // Zero for a line of another program.
	line.Time, line.Event = when, int(number)
	return line, true
}

func word(fields map[string]any, name string) string {
	text, _ := fields[name].(string) // Empty if it is missing or no text.
	return text
}

// Find puts together what the lines say of a request.
func Find(lines []Line, request string) (*Trace, error) {
	t := &Trace{Request: request, Related: []Line{}}
	for _, line := range lines {
		if word(line.fields, "request") == request {
			t.Lines = append(t.Lines, line)
		}
	}
	if len(t.Lines) == 0 {
		return nil, ErrNotFound
	}
	byTime(t.Lines)
	t.Outcome = &t.Lines[len(t.Lines)-1]
	for _, line := range lines {
		if t.bears(line) {
			t.Related = append(t.Related, line)
		}
	}
	byTime(t.Related)
	return t, nil
}

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Numbers of events that bear on requests: all but those of single requests.
const (
	firstBearing = 700
	pageSeen     = 724 // Each VM logs it; only that of the request's VM bears.
	firstRequest = 730
)

// bears says whether another line bears on the request's end.
func (t *Trace) bears(line Line) bool {
	end := t.Outcome
	if line.Event < firstBearing || line.Event >= firstRequest || line.Time.After(end.Time) || end.Time.Sub(line.Time) > before {
		return false
	}
	if line.Event == pageSeen && line.VM != end.VM {
		return false
	}
	if server := word(line.fields, "server"); server != "" {
		return strings.Contains(end.Text, server) || t.holdsKey(line)
	}
	return line.VM == end.VM || word(line.fields, "service") == word(end.fields, "service")
}

// holdsKey says whether a line is about a range that holds the request's key.
func (t *Trace) holdsKey(line Line) bool {
	key, hasKey := t.Outcome.fields["key"].(float64)
	from, hasFrom := line.fields["from"].(float64)
	to, hasTo := line.fields["to"].(float64)
	same := word(line.fields, "service") == word(t.Outcome.fields, "service")
	return hasKey && hasFrom && hasTo && same && from <= key && key <= to
}
