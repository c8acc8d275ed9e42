package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// decoder walks a YAML tree and collects every fault with its line.
type decoder struct {
	file string
	// lines maps the path of a field to its line.
	lines  map[string]int
	faults []error
}

// member is one field that a mapping may hold.
type member struct {
	name     string
	required bool
	decode   func(node *yaml.Node, path string)
}

// newDecoder returns a decoder for one file.
func newDecoder(file string) *decoder {
	return &decoder{file: file, lines: make(map[string]int)}
}

// err returns every fault of the file, or nil.
func (d *decoder) err() error { return errors.Join(d.faults...) }

// fault records a fault of the field at path.
func (d *decoder) fault(path, format string, args ...any) {
	fault := &Error{File: d.file, Line: d.line(path), Field: path, Reason: fmt.Sprintf(format, args...)}
	d.faults = append(d.faults, fault)
}

// line returns the line of a path, or of the nearest path around it.
func (d *decoder) line(path string) int {
	for {
		if line, known := d.lines[path]; known {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
}

// document decodes the only document of a file into members.
func (d *decoder) document(data []byte, members []member) {
	if len(data) > MaxFileBytes {
		d.fault("file", "has %d bytes, more than %d", len(data), MaxFileBytes)
		return
	}
	reader := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	if err := reader.Decode(&root); err != nil {
		d.syntax(err)
		return
	}
	var next yaml.Node
	if err := reader.Decode(&next); !errors.Is(err, io.EOF) {
		d.lines["file"] = next.Line
		d.fault("file", "holds more than one document")
		return
	}
	d.mapping(root.Content[0], "", members)
}

var syntaxLine = regexp.MustCompile(`line (\d+): `)

// syntax records a fault of YAML itself.
func (d *decoder) syntax(err error) {
	if errors.Is(err, io.EOF) {
		d.fault("file", "is empty")
		return
	}
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxLine.FindStringSubmatch(text); match != nil {
		d.lines["file"], _ = strconv.Atoi(match[1])
		text = strings.Replace(text, match[0], "", 1)
	}
	d.fault("file", "is not YAML: %s", text)
}

// join returns the path of a member of the mapping at path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// mapping decodes a mapping and reports unknown, repeated and missing members.
func (d *decoder) mapping(node *yaml.Node, path string, members []member) {
	if node.Kind != yaml.MappingNode {
		d.kindFault(node, path, "a mapping of fields")
		return
	}
	seen := make(map[string]bool, len(members))
	for i := 0; i+1 < len(node.Content); i += 2 {
		d.memberOf(node.Content[i], node.Content[i+1], path, members, seen)
	}
	for _, wanted := range members {
		if wanted.required && !seen[wanted.name] {
			d.fault(join(path, wanted.name), "is missing")
		}
	}
}

// memberOf decodes one member of a mapping.
func (d *decoder) memberOf(key, value *yaml.Node, path string, members []member, seen map[string]bool) {
	at := join(path, key.Value)
	if seen[key.Value] {
		d.fault(at, "is given a second time on line %d", key.Line)
		return
	}
	d.lines[at] = key.Line
	for _, known := range members {
		if known.name != key.Value {
			continue
		}
		seen[key.Value] = true
		known.decode(value, at)
		return
	}
	d.fault(at, "is not a known field%s", didYouMean(members))
}

// didYouMean lists the known fields of a mapping.
func didYouMean(members []member) string {
	names := make([]string, 0, len(members))
	for _, known := range members {
		names = append(names, known.name)
	}
	return "; known are " + strings.Join(names, ", ")
}

// kindFault reports a node of the wrong shape.
func (d *decoder) kindFault(node *yaml.Node, path, want string) {
	at := path
	if at == "" {
		at = "file"
		d.lines[at] = node.Line
	}
	if node.Kind == yaml.AliasNode {
		d.fault(at, "is an alias; anchors and aliases are not read")
		return
	}
	d.fault(at, "must be %s", want)
}

// list decodes each item of a sequence.
func (d *decoder) list(node *yaml.Node, path string, item func(node *yaml.Node, path string)) {
	if node.Kind != yaml.SequenceNode {
		d.kindFault(node, path, "a list")
		return
	}
	for i, child := range node.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = child.Line
		item(child, at)
	}
}

// scalar returns a scalar's text if it carries the tag.
func (d *decoder) scalar(node *yaml.Node, path, tag, want string) (string, bool) {
	if node.Kind != yaml.ScalarNode {
		d.kindFault(node, path, want)
		return "", false
	}
	if node.Tag != tag {
		d.fault(path, "%q must be %s", node.Value, want)
		return "", false
	}
	return node.Value, true
}

// text decodes a string of 1 to most bytes.
func (d *decoder) text(target *string, most int) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		value, ok := d.scalar(node, path, "!!str", "a string (quote it)")
		if !ok {
			return
		}
		if strings.TrimSpace(value) == "" {
			d.fault(path, "is empty")
			return
		}
		if len(value) > most {
			d.fault(path, "has %d bytes, more than %d", len(value), most)
			return
		}
		*target = value
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// name decodes the name of a thing.
func (d *decoder) name(target *string) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		var value string
		d.text(&value, MaxNameBytes)(node, path)
		if value == "" {
			return
		}
		if !namePattern.MatchString(value) {
			d.fault(path, "%q may hold only a-z, 0-9 and inner hyphens", value)
			return
		}
		*target = value
	}
}

// boolean decodes true or false.
func (d *decoder) boolean(target *bool) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		value, ok := d.scalar(node, path, "!!bool", "true or false")
		if ok {
			*target = value == "true"
		}
	}
}

// address decodes an IP number and port.
func (d *decoder) address(target *string) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		var value string
		d.text(&value, MaxNameBytes)(node, path)
		if value == "" {
			return
		}
		address, err := netip.ParseAddrPort(value)
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			d.fault(path, "%q is not an IP number and port such as 127.0.0.1:8080", value)
			return
		}
		*target = address.String()
	}
}

// value decodes a number of the given kind within bounds.
func (d *decoder) value(kind Kind, least, most int64, target func(int64)) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		tag := "!!str"
		if kind == KindCount {
			tag = "!!int"
		}
		text, ok := d.scalar(node, path, tag, "a "+kind.String()+" such as "+kind.Example())
		if !ok {
			return
		}
		parsed, err := kind.Parse(text)
		if err != nil {
			d.fault(path, "%s", err)
			return
		}
		if parsed < least || parsed > most {
			d.fault(path, "%s is outside %s to %s", text, kind.Format(least), kind.Format(most))
			return
		}
		target(parsed)
	}
}

// count decodes a whole number within bounds.
func (d *decoder) count(target *int, least, most int64) func(*yaml.Node, string) {
	return d.value(KindCount, least, most, func(value int64) { *target = int(value) })
}

// duration decodes a duration within bounds.
func (d *decoder) duration(target *time.Duration, least, most time.Duration) func(*yaml.Node, string) {
	return d.value(KindDuration, int64(least), int64(most), func(value int64) { *target = time.Duration(value) })
}

// date decodes a day or a time of RFC 3339.
func (d *decoder) date(target *time.Time) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		if node.Kind != yaml.ScalarNode {
			d.kindFault(node, path, "a date such as 2026-12-31")
			return
		}
		for _, layout := range []string{time.DateOnly, time.RFC3339} {
			parsed, err := time.Parse(layout, node.Value)
			if err == nil {
				*target = parsed
				return
			}
		}
		d.fault(path, "%q is not a date such as 2026-12-31 or 2026-12-31T18:00:00Z", node.Value)
	}
}

// oneOf decodes one of the given words.
func oneOf[T ~string](d *decoder, target *T, words ...T) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		var value string
		d.text(&value, MaxNameBytes)(node, path)
		if value == "" {
			return
		}
		for _, word := range words {
			if T(value) == word {
				*target = word
				return
			}
		}
		d.fault(path, "%q is none of %v", value, words)
	}
}
