package explore

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Schedule is a list of events that breaks a rule. Only the events that are not the usual
// ones are listed.
type Schedule struct {
	Size Size
	// Rule is the rule that it breaks, or empty for one that breaks none.
	Rule Rule
	// Steps are the events that are not usual, in order. Last is the number of all events.
	Steps []Step
	Last  int
}

// Step is an event and the number of events before it.
type Step struct {
	Number int
	Event  Event
}

// newSchedule returns the schedule of a path.
func newSchedule(size Size, v *Violation, path []Event) *Schedule {
	s := &Schedule{Size: size, Rule: v.Rule, Last: len(path)}
	for at, e := range path {
		if e.action != usual {
			s.Steps = append(s.Steps, Step{at, e})
		}
	}
	return s
}

// FormatError reports a line of a schedule that can't be read.
type FormatError struct {
	Line   int
	Reason string
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("schedule, line %d: %s", e.Line, e.Reason) }

// PlayError reports an event of a schedule that was not possible when its turn came.
type PlayError struct {
	Step Step
	Err  error
}

// Error implements error.
func (e *PlayError) Error() string { return fmt.Sprintf("event %d: %v", e.Step.Number, e.Err) }

// Unwrap returns the reason.
func (e *PlayError) Unwrap() error { return e.Err }

// Write writes the schedule, with all events and what each server holds as comments.
func (s *Schedule) Write(out io.Writer) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "vms %d\nservers %d\n", s.Size.VMs, s.Size.Servers)
	if s.Size.Daemons > 0 {
		fmt.Fprintf(text, "daemons %d\n", s.Size.Daemons)
	}
	fmt.Fprintf(text, "rule %s\n", s.Rule)
	broken, err := s.play(func(line string) { fmt.Fprintf(text, "# %s\n", line) }, func(step Step) {
		fmt.Fprintf(text, "%d %s\n", step.Number, step.Event)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(text, "%d end\n", s.Last)
	if broken != nil {
		fmt.Fprintf(text, "# %s\n", broken)
	}
	_, err = io.WriteString(out, text.String())
	return err
}

// MarshalText returns the schedule as Write writes it.
func (s *Schedule) MarshalText() ([]byte, error) {
	text := &bytes.Buffer{}
	err := s.Write(text)
	return text.Bytes(), err
}

// UnmarshalText reads what MarshalText returned.
func (s *Schedule) UnmarshalText(text []byte) error {
	read, err := Read(bytes.NewReader(text))
	if err == nil {
		*s = *read
	}
	return err
}

// Play plays the schedule. It returns the rule that is broken, or nil.
func (s *Schedule) Play() (*Violation, error) { return s.play(nil, nil) }

// play plays the schedule and tells what happens, and the steps as they come.
func (s *Schedule) play(trace func(string), onStep func(Step)) (*Violation, error) {
	w := newWorld(s.Size)
	holds := ""
	w.trace = func(text string) {
		if trace == nil {
			return
		}
		if now := w.describe(); now != holds {
			trace(now)
			holds = now
		}
		trace("  " + text)
	}
	next := 0
	for number := range s.Last {
		e := Event{}
		if next < len(s.Steps) && s.Steps[next].Number == number {
			e = s.Steps[next].Event
			if onStep != nil {
				onStep(s.Steps[next])
			}
			next++
		}
		if err := w.apply(e); err != nil {
			return nil, &PlayError{Step{number, e}, err}
		}
		if w.broken != nil {
			return w.broken, nil
		}
	}
	return w.checkOwned(), nil
}

// Read reads a schedule.
func Read(in io.Reader) (*Schedule, error) {
	s := &Schedule{Last: -1}
	lines := bufio.NewScanner(in)
	number := 0
	for lines.Scan() {
		number++
		line, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if reason := s.readLine(fields); reason != "" {
			return nil, &FormatError{number, reason}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, &FormatError{number + 1, err.Error()}
	}
	if s.Last < 0 {
		return nil, &FormatError{number + 1, "no line \"NUMBER end\""}
	}
	if err := (Bounds{Size: s.Size, Share: 1, Depth: quantum, States: 1, MemoryBytes: stateBytes, Rules: Rules()}).Check(); err != nil {
		return nil, &FormatError{number, err.Error()}
	}
	return s, nil
}

// readLine reads one line and returns what is wrong with it, or nothing.
func (s *Schedule) readLine(fields []string) string {
	if s.Last >= 0 {
		return "follows the end"
	}
	if len(fields) < 2 {
		return "too short"
	}
	switch fields[0] {
	case "vms":
		return readInt(fields[1], &s.Size.VMs)
	case "servers":
		return readInt(fields[1], &s.Size.Servers)
	case "daemons":
		return readInt(fields[1], &s.Size.Daemons)
	case "rule":
		s.Rule = Rule(fields[1])
		if !slices.Contains(Rules(), s.Rule) {
			return fmt.Sprintf("%q is no rule", fields[1])
		}
		return ""
	}
	step := Step{}
	if reason := readInt(fields[0], &step.Number); reason != "" {
		return reason
	}
	if len(s.Steps) > 0 && step.Number <= s.Steps[len(s.Steps)-1].Number {
		return fmt.Sprintf("number %d does not rise", step.Number)
	}
	if fields[1] == "end" {
		s.Last = step.Number
		return ""
	}
	at := slices.Index(actionNames[:], fields[1])
	if at <= int(usual) {
		return fmt.Sprintf("%q is no event", fields[1])
	}
	if len(fields) != 3 {
		return "an event has one subject"
	}
	subject, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return fmt.Sprintf("%q is no number", fields[2])
	}
	step.Event = Event{action(at), subject}
	s.Steps = append(s.Steps, step)
	return ""
}

// readInt reads a number that is not negative.
func readInt(text string, into *int) string {
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		return fmt.Sprintf("%q is no number", text)
	}
	*into = value
	return ""
}
