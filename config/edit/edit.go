// Package edit changes single facts in the text of a configuration and leaves
// the rest of the operator's file, comments and layout included, as it stands.
package edit

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"gopkg.in/yaml.v3"

	"guavacrank.example/config"
)

// Error is an edit that can't be made.
type Error struct {
	Subject string // What was to be edited, such as "server cat-1".
	Reason  string
}

// Error implements error.
func (e *Error) Error() string { return e.Subject + ": " + e.Reason }

// SetDraining returns the text with the server's draining field set. The text
// must parse as a configuration. It fails with *Error for an unknown server or
// if nothing would change, and with the joined *config.Error values of a result
// that is no longer valid.
func SetDraining(text, server string, draining bool) (string, error) {
	root, err := parse(text)
	if err != nil {
		return "", err
	}
	node := findByName(child(root, "servers"), server)
	if node == nil {
		return "", &Error{"server " + server, "is not declared"}
	}
	field := child(node, "draining")
	if (field != nil && field.Value == "true") == draining {
		return "", &Error{"server " + server, fmt.Sprintf("draining is %t already", draining)}
	}
	value := strconv.FormatBool(draining)
	edited := ""
	if field != nil {
		edited = replaceAt(text, field, value)
	} else {
		edited = insertMember(text, node, "draining: "+value)
	}
	return verify(edited)
}

// DeclareLost returns the text with one more entry under lost. It fails like
// SetDraining.
func DeclareLost(text string, lost config.Lost) (string, error) {
	root, err := parse(text)
	if err != nil {
		return "", err
	}
	item := fmt.Sprintf("{kind: %s, name: %s, reason: %s}", lost.Kind, lost.Name, quote(lost.Reason))
	list := child(root, "lost")
	edited := ""
	if list != nil {
		edited = insertItem(text, list, item)
	} else {
		edited = insertMember(text, root, "lost: ["+item+"]")
	}
	return verify(edited)
}

// parse returns the root mapping of a valid configuration.
func parse(text string) (*yaml.Node, error) {
	if _, err := config.ParseConfiguration("in force", []byte(text)); err != nil {
		return nil, err
	}
	var document yaml.Node
	if err := yaml.Unmarshal([]byte(text), &document); err != nil {
		return nil, err
	}
	return document.Content[0], nil
}

// verify returns the edited text if it is a valid configuration.
func verify(edited string) (string, error) {
	if _, err := config.ParseConfiguration("edited", []byte(edited)); err != nil {
		return "", err
	}
	return edited, nil
}

// quote returns a YAML double-quoted scalar on one line.
func quote(text string) string { return strconv.QuoteToASCII(text) }

// child returns the value of a mapping's member, or nil.
func child(mapping *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return mapping.Content[i+1]
		}
	}
	return nil
}

// findByName returns the item of a list whose member name has the value.
func findByName(list *yaml.Node, name string) *yaml.Node {
	for _, item := range list.Content {
		if field := child(item, "name"); field != nil && field.Value == name {
			return item
		}
	}
	return nil
}

// insertMember puts a member before the first of a mapping.
func insertMember(text string, mapping *yaml.Node, member string) string {
	first := mapping.Content[0]
	if mapping.Style&yaml.FlowStyle != 0 {
		return insertAt(text, first, member+", ")
	}
	return insertAt(text, first, member+"\n"+strings.Repeat(" ", first.Column-1))
}

// insertItem puts an item before the first of a list.
func insertItem(text string, list *yaml.Node, item string) string {
	if list.Style&yaml.FlowStyle == 0 {
		return insertAt(text, list, "- "+item+"\n"+strings.Repeat(" ", list.Column-1))
	}
	if len(list.Content) == 0 {
		return replaceAt(text, list, "["+item)
	}
	return insertAt(text, list.Content[0], item+", ")
}

// insertAt puts addition before a node.
func insertAt(text string, node *yaml.Node, addition string) string {
	at := offset(text, node)
	return text[:at] + addition + text[at:]
}

// replaceAt replaces the first bytes of a node's text: a plain scalar, or the
// opening bracket of an empty list.
func replaceAt(text string, node *yaml.Node, replacement string) string {
	at := offset(text, node)
	length := max(len(node.Value), 1)
	return text[:at] + replacement + text[at+length:]
}

// offset returns the position in bytes of a node, whose column counts characters.
func offset(text string, node *yaml.Node) int {
	at := 0
	for line := 1; line < node.Line; line++ {
		at += strings.IndexByte(text[at:], '\n') + 1
	}
	for column := 1; column < node.Column; column++ {
		_, size := utf8.DecodeRuneInString(text[at:])
		at += size
	}
	return at
}
