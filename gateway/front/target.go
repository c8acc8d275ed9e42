package front

import "strings"

// originForm returns a request target without the scheme and host that it may name;
// net/http has taken the host from there.
func originForm(target string) string {
	scheme, rest, whole := strings.Cut(target, "://")
	if !whole || strings.ContainsAny(scheme, "/?") {
		return target
	}
	at := strings.IndexAny(rest, "/?")
	switch {
	case at < 0:
		return "/"
	case rest[at] == '?':
		return "/" + rest[at:]
	}
	return rest[at:]
}

// rawPath returns the path of a request target without decoding it.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
