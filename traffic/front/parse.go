package front

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/config"
	"guavacrank.example/traffic/verdict"
)

// Path prefixes of requests.
const (
	// CallerPrefix is the path prefix of a caller's request:
	// /v1/{service}/{key...}.
	CallerPrefix = "/v1/"
	// PeerPrefix is the path prefix of a request that another VM forwards.
	PeerPrefix = "/peer/v1/"
)

// Headers of a caller's request.
const (
	// HeaderClass names the traffic class.
	HeaderClass = backend.HeaderClass
	// HeaderDeadline gives the time that the caller waits, in milliseconds.
	HeaderDeadline = backend.HeaderDeadline
	// HeaderIdempotencyKey identifies the retries of a non-idempotent request.
	HeaderIdempotencyKey = "Guavacrank-Idempotency-Key"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 128

// refusal is the reason why a request is refused.
type refusal struct {
	code   verdict.Code
	detail string
}

// parsedPath is the parsed path of a request.
type parsedPath struct {
	service string
	key     string
	path    string // Escaped, with a leading slash.
}

// parsePath splits an escaped path into service and key. The key is the
// decoded rest of the path after the slash that ends the service name.
func parsePath(escaped, prefix string, keyBytes int) (parsedPath, *refusal) {
	rest, ok := strings.CutPrefix(escaped, prefix)
	if !ok {
		return parsedPath{}, &refusal{verdict.CodeBadRequest, "the path must be " + prefix + "{service}/{key}"}
	}
	name, path := rest, "/"
	if slash := strings.IndexByte(rest, '/'); slash >= 0 {
		name, path = rest[:slash], rest[slash:]
	}
	service, err := url.PathUnescape(name)
	if err != nil || service == "" {
		return parsedPath{}, &refusal{verdict.CodeBadRequest, "the path names no service"}
	}
	key, err := url.PathUnescape(path[1:])
	if err != nil {
		return parsedPath{}, &refusal{verdict.CodeBadRequest, "the key is not percent-encoded"}
	}
	if len(key) > keyBytes {
		return parsedPath{}, &refusal{verdict.CodeKeyTooLong, "the key is longer than " + strconv.Itoa(keyBytes) + " bytes"}
	}
	return parsedPath{service: service, key: key, path: path}, nil
}

// parse parses a request and checks it against the snapshot and the limits.
func (h *Handler) parse(r *http.Request, prefix string) (*call, *refusal) {
	if headerBytes(r.Header) > h.options.Limits.HeaderBytes {
		return nil, &refusal{verdict.CodeHeadersTooLarge, "the header fields are too large"}
	}
	path, refused := parsePath(r.URL.EscapedPath(), prefix, h.options.Limits.KeyBytes)
	if refused != nil {
		return nil, refused
	}
	s := h.current().services[path.service]
	if s == nil {
		return nil, &refusal{verdict.CodeUnknownService, "no service is named " + strconv.Quote(path.service)}
	}
	class, refused := classOf(r.Header, s)
	if refused != nil {
		return nil, refused
	}
	if limit := s.settingsOf(class.Name).MaxBodyBytes; r.ContentLength > limit {
		return nil, &refusal{verdict.CodeBodyTooLarge, "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	allowed, refused := deadlineOf(r.Header, class)
	if refused != nil {
		return nil, refused
	}
	c := &call{
		service:  s,
		class:    class,
		key:      path.key,
		path:     path.path,
		deadline: h.now() + allowed,
		request:  r,
	}
	if !class.Idempotent {
		c.elapsedDeadline = h.options.Elapsed() + allowed
	}
	return c, nil
}

// parseCaller parses a caller's request, including its idempotency key, and
// gives it an ID.
func (h *Handler) parseCaller(r *http.Request) (*call, *refusal) {
	c, refused := h.parse(r, CallerPrefix)
	if refused != nil {
		return nil, refused
	}
	c.idempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, &refusal{verdict.CodeBadRequest, HeaderIdempotencyKey + " is longer than " + strconv.Itoa(maxIdempotencyKeyBytes) + " bytes"}
	}
	c.id = h.ids.next()
	return c, nil
}

// classOf returns the class that the request names, or the service's default
// class.
func classOf(header http.Header, s *service) (config.Class, *refusal) {
	name := header.Get(HeaderClass)
	if name == "" {
		name = s.DefaultClass
	}
	class, ok := s.Classes[name]
	if !ok {
		return config.Class{}, &refusal{verdict.CodeUnknownClass, "service " + strconv.Quote(s.Name) + " has no class " + strconv.Quote(name)}
	}
	return class, nil
}

// deadlineOf returns the time that the request may take: the caller's value,
// limited to the deadline of the class.
func deadlineOf(header http.Header, class config.Class) (time.Duration, *refusal) {
	limit := orDefault(class.Deadline, defaultDeadline)
	text := header.Get(HeaderDeadline)
	if text == "" {
		return limit, nil
	}
	requested, err := strconv.ParseInt(text, 10, 32)
	if err != nil || requested <= 0 {
		return 0, &refusal{verdict.CodeBadRequest, HeaderDeadline + " must be a positive number of milliseconds"}
	}
	return min(time.Duration(requested)*time.Millisecond, limit), nil
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}
