// Package trace finds the log lines that explain one request in the logs of all
// VMs.
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

// Trace holds the log lines that concern one request.
type Trace struct {
	Request string `json:"request"`
	// Lines are the lines that name the request, sorted by time.
	Lines []Line `json:"lines"`
	// Outcome is the line that reports the end of the request.
	Outcome *Line `json:"deciding,omitempty"`
	// Related are other events shortly before the end of the request that concern
	// its servers, its key or the VM that handled it.
	Related []Line `json:"around"`
}

// relatedWindow is how long before the end of a request other events are related
// to it.
const relatedWindow = 5 * time.Second

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// ErrNotFound reports that no log line names the request.
var ErrNotFound = errors.New("no log line names the request; successes are sampled, and lines are dropped if the log output is too slow")

// Read returns the lines of a log. It skips lines without a JSON object, and text
// before the object.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if line, ok := parse(text[start:]); ok {
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
	line := Line{Text: text, fields: fields, VM: stringField(fields, "vm"), Name: stringField(fields, "msg"), Cause: stringField(fields, "cause")}
	timestamp, err := time.Parse(time.RFC3339Nano, stringField(fields, "ts"))
	if err != nil {
		return Line{}, false
	}
	number, _ := fields["event"].(float64) // Zero for lines of other programs.
	line.Time, line.Event = timestamp, int(number)
	return line, true
}

func stringField(fields map[string]any, name string) string {
	text, _ := fields[name].(string) // Empty if the field is missing or not a string.
	return text
}

// Find returns the trace of a request.
func Find(lines []Line, request string) (*Trace, error) {
	t := &Trace{Request: request, Related: []Line{}}
	for _, line := range lines {
		if stringField(line.fields, "request") == request {
			t.Lines = append(t.Lines, line)
		}
	}
	if len(t.Lines) == 0 {
		return nil, ErrNotFound
	}
	sortByTime(t.Lines)
	t.Outcome = &t.Lines[len(t.Lines)-1]
	for _, line := range lines {
		if t.isRelated(line) {
			t.Related = append(t.Related, line)
		}
	}
	sortByTime(t.Related)
	return t, nil
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Numbers of events that can be related to a request.
const (
	firstRelatedEvent = 700
	pageSeenEvent     = 724 // Logged by every VM; related only on the request's VM.
)

// isRelated reports whether a line is related to the end of the request.
func (t *Trace) isRelated(line Line) bool {
	end := t.Outcome
	_, ofRequest := line.fields["request"]
	if line.Event < firstRelatedEvent || ofRequest || line.Time.After(end.Time) || end.Time.Sub(line.Time) > relatedWindow {
		return false
	}
	if line.Event == pageSeenEvent && line.VM != end.VM {
		return false
	}
	if server := stringField(line.fields, "server"); server != "" {
		return strings.Contains(end.Text, server) || t.concernsKey(line)
	}
	return line.VM == end.VM || stringField(line.fields, "service") == stringField(end.fields, "service")
}

// concernsKey reports whether a line is about a key range that contains the
// request's key.
func (t *Trace) concernsKey(line Line) bool {
	key, hasKey := t.Outcome.fields["key"].(float64)
	from, hasFrom := line.fields["from"].(float64)
	to, hasTo := line.fields["to"].(float64)
	sameService := stringField(line.fields, "service") == stringField(t.Outcome.fields, "service")
	return hasKey && hasFrom && hasTo && sameService && from <= key && key <= to
}
