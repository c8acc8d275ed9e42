package front

import (
	"errors"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// rawMessage is a request as it stands on a socket. Names of fields are in lower case.
type rawMessage struct {
	line   string
	host   string
	fields map[string][]string
	// framing holds the fields that each connection sets for itself.
	framing  map[string][]string
	body     string
	trailers map[string][]string
}

var (
	errMalformed  = errors.New("malformed")
	errIncomplete = errors.New("incomplete")

	requestLinePattern = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^\\x00-\\x20\\x7f]+) (HTTP/1\\.[01])$")
	fieldPattern       = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*((?:[^\\x00-\\x08\\x0a-\\x1f\\x7f])*)$")
	chunkPattern       = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})([ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	absolutePattern    = regexp.MustCompile(`^[Hh][Tt][Tt][Pp]://([^/?#@%]*)([/?].*)?$`)

	// hopFields concern one connection only.
	hopFields = regexp.MustCompile(`^(connection|keep-alive|proxy-connection|proxy-authenticate|proxy-authorization|te|trailer|transfer-encoding|upgrade|content-length)$`)
)

// takeLine takes a line that ends with CRLF off the text.
func takeLine(text *string) (string, error) {
	line, rest, found := strings.Cut(*text, "\n")
	switch {
	case !found:
		return "", errIncomplete
	case !strings.HasSuffix(line, "\r") || strings.Count(line, "\r") != 1:
		return "", errMalformed
	}
	*text = rest
	return strings.TrimSuffix(line, "\r"), nil
}

// takeFields takes fields and the empty line after them off the text.
func takeFields(text *string) (map[string][]string, error) {
	fields := make(map[string][]string)
	for {
		line, err := takeLine(text)
		if err != nil || line == "" {
			return fields, err
		}
		parts := fieldPattern.FindStringSubmatch(line)
		if parts == nil {
			return nil, errMalformed
		}
		name := strings.ToLower(parts[1])
		fields[name] = append(fields[name], strings.Trim(parts[2], " \t"))
	}
}

// takeBytes takes a number of bytes off the text.
func takeBytes(text *string, count uint64) (string, error) {
	if count > uint64(len(*text)) {
		return "", errIncomplete
	}
	taken := (*text)[:count]
	*text = (*text)[count:]
	return taken, nil
}

// takeChunks takes a chunked body with its trailer off the text.
func takeChunks(text *string) (body string, trailers map[string][]string, err error) {
	for {
		line, err := takeLine(text)
		if err != nil {
			return "", nil, err
		}
		parts := chunkPattern.FindStringSubmatch(line)
		if parts == nil {
			return "", nil, errMalformed
		}
		size, _ := strconv.ParseUint(parts[1], 16, 64) // The pattern permits nothing else.
		if size == 0 {
			trailers, err = takeFields(text)
			return body, trailers, err
		}
		data, err := takeBytes(text, size)
		if err != nil {
			return "", nil, err
		}
		end, err := takeLine(text)
		if err != nil {
			return "", nil, err
		}
		if end != "" {
			return "", nil, errMalformed
		}
		body += data
	}
}

// takeMessage takes a request off the text, by the strict grammar of RFC 9112.
func takeMessage(text *string) (rawMessage, error) {
	var m rawMessage
	line, err := takeLine(text)
	for err == nil && line == "" {
		line, err = takeLine(text) // An empty line before a request may be ignored (section 2.2).
	}
	if err != nil {
		return m, err
	}
	parts := requestLinePattern.FindStringSubmatch(line)
	if parts == nil {
		return m, errMalformed
	}
	if m.fields, err = takeFields(text); err != nil {
		return m, err
	}
	if len(m.fields["host"]) > 1 || len(m.fields["host"]) == 0 && parts[3] == "HTTP/1.1" {
		return m, errMalformed
	}
	m.host = strings.Join(m.fields["host"], "")
	target := parts[2]
	if absolute := absolutePattern.FindStringSubmatch(target); absolute != nil {
		if len(m.fields["host"]) == 1 && m.host != absolute[1] {
			return m, errMalformed
		}
		m.host, target = absolute[1], absolute[2]
		if !strings.HasPrefix(target, "/") {
			target = "/" + target
		}
	}
	m.line = parts[1] + " " + target
	return m, m.takeBody(text, parts[3] == "HTTP/1.0")
}

// takeBody takes the body off the text and separates the fields of the connection.
func (m *rawMessage) takeBody(text *string, old bool) (err error) {
	lengths, codings := m.fields["content-length"], m.fields["transfer-encoding"]
	switch {
	case len(lengths)+len(codings) > 1 || old && len(codings) > 0:
		return errMalformed
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") {
			return errMalformed
		}
		m.body, m.trailers, err = takeChunks(text)
	case len(lengths) == 1:
		length, parseErr := strconv.ParseUint(lengths[0], 10, 63)
		if parseErr != nil {
			return errMalformed
		}
		m.body, err = takeBytes(text, length)
	}
	m.framing = make(map[string][]string)
	named := "," + strings.ReplaceAll(strings.ToLower(strings.Join(m.fields["connection"], ",")), " ", "") + ","
	for name, values := range m.fields {
		if hopFields.MatchString(name) || strings.Contains(named, ","+name+",") {
			m.framing[name] = values
			delete(m.fields, name)
		}
	}
	delete(m.fields, "host")
	if len(m.trailers) == 0 {
		m.trailers = nil
	}
	return err
}

// same reports whether all that is not of one connection is the same.
func (m rawMessage) same(other rawMessage) bool {
	return m.line == other.line && m.host == other.host && m.body == other.body &&
		reflect.DeepEqual(m.fields, other.fields) && reflect.DeepEqual(m.trailers, other.trailers)
}
