package demo

import (
	"fmt"
	"strings"

	"gopkg.in/yaml.v3"
)

// rewriteAddresses returns the configuration's text with each server's address
// replaced, by name. The rest of the text stays as it is.
func rewriteAddresses(text string, addresses map[string]string) (string, error) {
	var document yaml.Node
	if err := yaml.Unmarshal([]byte(text), &document); err != nil {
		return "", err
	}
	if len(document.Content) == 0 {
		return "", fmt.Errorf("the configuration is empty")
	}
	lines := strings.Split(text, "\n")
	servers := member(document.Content[0], "servers")
	if servers == nil {
		return text, nil
	}
	for _, server := range servers.Content {
		name, address := member(server, "name"), member(server, "address")
		if name == nil || address == nil {
			continue
		}
		replacement, ok := addresses[name.Value]
		if !ok {
			return "", fmt.Errorf("server %s has no stand-in", name.Value)
		}
		line := lines[address.Line-1]
		head, tail := line[:address.Column-1], line[address.Column-1:]
		lines[address.Line-1] = head + strings.Replace(tail, address.Value, replacement, 1)
	}
	return strings.Join(lines, "\n"), nil
}

// member returns the value of a mapping's member, or nil.
func member(mapping *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return mapping.Content[i+1]
		}
	}
	return nil
}
