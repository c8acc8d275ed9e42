package front

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/backend"
)

// internalPrefix starts every header of guavacrank's own, in canonical form.
const internalPrefix = "Guavacrank-"

// hopHeaders belong to one connection and are never passed on (RFC 9110, 7.6.1).
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyHeaders adds source's header fields to destination, but for those of
// one connection and those of guavacrank: nobody outside can forge a unit, an
// epoch or a verdict.
func copyHeaders(destination, source http.Header) {
	named := source["Connection"]
	for name, values := range source {
		if hopHeaders[name] || strings.HasPrefix(name, internalPrefix) || named != nil && listed(named, name) {
			continue
		}
		destination[name] = values
	}
}

// listed says whether a Connection header names the field.
func listed(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// spareHeaders is the number of header fields that guavacrank adds.
const spareHeaders = 8

// serverRequest returns the request for a backend server.
func (c *call) serverRequest(to target, now time.Duration) *http.Request {
	header := c.outgoingHeader(now)
	header[backend.HeaderKey] = []string{url.PathEscape(c.key)}
	if c.service.DividedByKey {
		header[backend.HeaderUnit] = []string{strconv.FormatUint(uint64(to.unit), 10)}
		header[backend.HeaderEpoch] = []string{strconv.FormatUint(to.epoch, 10)}
	}
	return c.outgoing(header, &url.URL{Path: "/" + c.key, RawPath: c.path, RawQuery: c.request.URL.RawQuery})
}

// peerRequest returns the request for the home of a server or group.
func (h *Handler) peerRequest(c *call, to target, now time.Duration) *http.Request {
	header := c.outgoingHeader(now)
	header[HeaderPeerToken] = []string{h.options.PeerToken}
	header[backend.HeaderDeadline] = []string{strconv.FormatInt(homeDeadline(c.remaining(now)), 10)}
	if h.options.Region != "" {
		header[HeaderPeerRegion] = []string{h.options.Region}
	}
	if to.group != nil {
		header[HeaderPeerZone] = []string{to.group.place()}
	} else {
		header[HeaderPeerServer] = []string{to.server.name}
	}
	if c.maxWait > 0 {
		header[HeaderPeerMaxWait] = []string{strconv.FormatInt(c.maxWait.Microseconds(), 10)}
	}
	if len(c.tried) > 0 {
		header[HeaderPeerTried] = []string{strings.Join(c.tried, ",")}
	}
	prefix := PeerPrefix + url.PathEscape(c.service.Name)
	return c.outgoing(header, &url.URL{
		Path:     PeerPrefix + c.service.Name + "/" + c.key,
		RawPath:  prefix + c.path,
		RawQuery: c.request.URL.RawQuery,
	})
}

// homeMargin is the most by which a home's deadline is shorter.
const homeMargin = 15 * time.Millisecond

// homeDeadline returns the time in milliseconds that a home is given, so that
// its verdict arrives before the caller's deadline.
func homeDeadline(remaining time.Duration) int64 {
	return max((remaining - min(remaining/10, homeMargin)).Milliseconds(), 1)
}

// outgoingHeader returns the caller's header fields with those that every
// attempt carries.
func (c *call) outgoingHeader(now time.Duration) http.Header {
	header := make(http.Header, len(c.request.Header)+spareHeaders)
	copyHeaders(header, c.request.Header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	remaining := max(c.remaining(now).Milliseconds(), 1)
	header[backend.HeaderRequestID] = []string{c.id}
	header[backend.HeaderAttempt] = []string{strconv.Itoa(c.attempt)}
	header[backend.HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	header[backend.HeaderClass] = []string{c.class.Name}
	return header
}

func (c *call) outgoing(header http.Header, where *url.URL) *http.Request {
	request := &http.Request{
		Method: c.request.Method,
		URL:    where,
		Host:   c.request.Host,
		Header: header,
	}
	c.body.attach(request)
	return request
}
