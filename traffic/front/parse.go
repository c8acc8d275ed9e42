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

// Paths under which requests arrive.
const (
	// CallerPrefix starts the path of a caller's request: /v1/{service}/{key...}.
	CallerPrefix = "/v1/"
	// PeerPrefix starts the path of a request that another VM forwards.
	PeerPrefix = "/peer/v1/"
)

// Headers of a caller's request.
const (
	// HeaderClass names the class of traffic.
	HeaderClass = backend.HeaderClass
	// HeaderDeadline gives the time that the caller waits, in milliseconds.
	HeaderDeadline = backend.HeaderDeadline
	// HeaderIdempotencyKey makes repeats of a non-idempotent request recognisable.
	HeaderIdempotencyKey = "Guavacrank-Idempotency-Key"
)

// maxIdempotencyKeyBytes is the longest idempotency key.
const maxIdempotencyKeyBytes = 128

// refusal is a request that is not taken.
type refusal struct {
	code   verdict.Code
	detail string
}

// address is the parsed path of a request.
type address struct {
	service string
	key     string
	path    string // Escaped, with a leading slash.
}

// parsePath splits an escaped path into service and key. The key is all that
// follows the service's slash, decoded.
func parsePath(escaped, prefix string, keyBytes int) (address, *refusal) {
	rest, ok := strings.CutPrefix(escaped, prefix)
	if !ok {
		return address{}, &refusal{verdict.CodeBadRequest, "the path must be " + prefix + "{service}/{key}"}
	}
	name, path := rest, "/"
	if slash := strings.IndexByte(rest, '/'); slash >= 0 {
		name, path = rest[:slash], rest[slash:]
	}
	service, err := url.PathUnescape(name)
	if err != nil || service == "" {
		return address{}, &refusal{verdict.CodeBadRequest, "the path names no service"}
	}
	key, err := url.PathUnescape(path[1:])
	if err != nil {
		return address{}, &refusal{verdict.CodeBadRequest, "the key is not percent-encoded"}
	}
	if len(key) > keyBytes {
		return address{}, &refusal{verdict.CodeKeyTooLong, "the key is longer than " + strconv.Itoa(keyBytes) + " bytes"}
	}
	return address{service: service, key: key, path: path}, nil
}

// parse checks a request against the snapshot and the limits.
func (h *Handler) parse(r *http.Request, prefix string) (*call, *refusal) {
	if headerBytes(r.Header) > h.options.Limits.HeaderBytes {
		return nil, &refusal{verdict.CodeHeadersTooLarge, "the header fields are too large"}
	}
	where, refused := parsePath(r.URL.EscapedPath(), prefix, h.options.Limits.KeyBytes)
	if refused != nil {
		return nil, refused
	}
	s := h.current().services[where.service]
	if s == nil {
		return nil, &refusal{verdict.CodeUnknownService, "no service is named " + strconv.Quote(where.service)}
	}
	class, refused := classOf(r.Header, s)
	if refused != nil {
		return nil, refused
	}
	if most := s.settingsOf(class.Name).MaxBodyBytes; r.ContentLength > most {
		return nil, &refusal{verdict.CodeBodyTooLarge, "the body is larger than " + strconv.FormatInt(most, 10) + " bytes"}
	}
	allowed, refused := deadlineOf(r.Header, class)
	if refused != nil {
		return nil, refused
	}
	c := &call{
		service:  s,
		class:    class,
		key:      where.key,
		path:     where.path,
		deadline: h.now() + allowed,
		request:  r,
	}
	if !class.Idempotent {
		c.mayRunUntil = h.options.Elapsed() + allowed
	}
	return c, nil
}

// parseCaller adds what only a caller's own request has.
func (h *Handler) parseCaller(r *http.Request) (*call, *refusal) {
	c, refused := h.parse(r, CallerPrefix)
	if refused != nil {
		return nil, refused
	}
	c.once = r.Header.Get(HeaderIdempotencyKey)
	if len(c.once) > maxIdempotencyKeyBytes {
		return nil, &refusal{verdict.CodeBadRequest, HeaderIdempotencyKey + " is longer than " + strconv.Itoa(maxIdempotencyKeyBytes) + " bytes"}
	}
	c.id = h.ids.next()
	return c, nil
}

// classOf returns the class that the request names, or the service's first.
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

// deadlineOf returns the time that the request may take: the caller's, bounded
// by the class's.
func deadlineOf(header http.Header, class config.Class) (time.Duration, *refusal) {
	most := orDefault(class.Deadline, defaultDeadline)
	text := header.Get(HeaderDeadline)
	if text == "" {
		return most, nil
	}
	asked, err := strconv.ParseInt(text, 10, 32)
	if err != nil || asked <= 0 {
		return 0, &refusal{verdict.CodeBadRequest, HeaderDeadline + " must be a positive number of milliseconds"}
	}
	return min(time.Duration(asked)*time.Millisecond, most), nil
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
