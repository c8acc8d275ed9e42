package front

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/backend"
)

// internalPrefix is the prefix of all guavacrank headers, in canonical form.
const internalPrefix = "Guavacrank-"

// hopHeaders are hop-by-hop headers, which are never forwarded (RFC 9110,
// section 7.6.1).
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

// copyHeaders copies the header fields of source to destination, except
// hop-by-hop and guavacrank headers, so that a caller or server cannot forge a
// unit, an epoch or a verdict.
func copyHeaders(destination, source http.Header) {
	named := source["Connection"]
	for name, values := range source {
		if hopHeaders[name] || strings.HasPrefix(name, internalPrefix) || named != nil && listed(named, name) {
			continue
		}
		destination[name] = values
	}
}

// listed reports whether a Connection header names the field.
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

// addedHeaders is the number of header fields that guavacrank adds to a
// request.
const addedHeaders = 8

// serverRequest returns the request to a backend server.
func (c *call) serverRequest(to target, now time.Duration) *http.Request {
	header := c.outgoingHeader(now)
	header[backend.HeaderKey] = []string{url.PathEscape(c.key)}
	if c.service.DividedByKey {
		header[backend.HeaderUnit] = []string{strconv.FormatUint(uint64(to.unit), 10)}
		header[backend.HeaderEpoch] = []string{strconv.FormatUint(to.epoch, 10)}
	}
	return c.newRequest(header, &url.URL{Path: "/" + c.key, RawPath: c.path, RawQuery: c.request.URL.RawQuery})
}

// peerRequest returns the request to the home of a server or group.
func (h *Handler) peerRequest(c *call, to target, now time.Duration) *http.Request {
	header := c.outgoingHeader(now)
	header[HeaderPeerToken] = []string{h.options.PeerToken}
	header[backend.HeaderDeadline] = []string{strconv.FormatInt(homeDeadline(c.remaining(now)), 10)}
	if h.options.Region != "" {
		header[HeaderPeerRegion] = []string{h.options.Region}
	}
	if to.group != nil {
		header[HeaderPeerZone] = []string{to.group.zoneName()}
	} else {
		header[HeaderPeerServer] = []string{to.server.name}
	}
	if c.maxWait > 0 {
		header[HeaderPeerMaxWait] = []string{strconv.FormatInt(c.maxWait.Microseconds(), 10)}
	}
	if len(c.failedServers) > 0 {
		header[HeaderPeerTried] = []string{strings.Join(c.failedServers, ",")}
	}
	prefix := PeerPrefix + url.PathEscape(c.service.Name)
	return c.newRequest(header, &url.URL{
		Path:     PeerPrefix + c.service.Name + "/" + c.key,
		RawPath:  prefix + c.path,
		RawQuery: c.request.URL.RawQuery,
	})
}

// maxHomeMargin is the maximum difference between the caller's deadline and
// the deadline given to the home.
const maxHomeMargin = 15 * time.Millisecond

// homeDeadline returns the time given to the home, in milliseconds. It is
// shorter than the remaining time, so that the home's verdict arrives before
// the caller's deadline.
func homeDeadline(remaining time.Duration) int64 {
	return max((remaining - min(remaining/10, maxHomeMargin)).Milliseconds(), 1)
}

// outgoingHeader returns the caller's header fields and those that are set on
// every attempt.
func (c *call) outgoingHeader(now time.Duration) http.Header {
	header := make(http.Header, len(c.request.Header)+addedHeaders)
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

func (c *call) newRequest(header http.Header, u *url.URL) *http.Request {
	request := &http.Request{
		Method: c.request.Method,
		URL:    u,
		Host:   c.request.Host,
		Header: header,
	}
	c.body.attach(request)
	return request
}
