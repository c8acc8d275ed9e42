// Package operator is the operator interface of a daemon: JSON over HTTP on an
// address of its own, protected by a shared token.
//
// Every response has the header HeaderInterface. The response to a rejected
// request is a Problem. A configuration change carries a change identifier, so
// that it is safe to repeat. docs/operators/ describes how to use the interface.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/event"
)

// InterfaceVersion is the version of the interface. A daemon supports every
// request of an equal or lower version.
const InterfaceVersion = 1

// HeaderInterface is the header that carries InterfaceVersion in every response.
const HeaderInterface = "Guavacrank-Operator-Interface"

// Paths of the interface.
const (
	PathVersion  = "/v1/version"         // GET, returns Version.
	PathStatus   = "/v1/status"          // GET, returns Status.
	PathOwners   = "/v1/owners"          // GET ?service=, returns Owners.
	PathExplain  = "/v1/explain"         // GET ?service=&key=, returns Explanation.
	PathEvents   = "/v1/events"          // GET ?from=&limit=, returns Events.
	PathConfig   = "/v1/config"          // GET ?revision=, returns config.Record.
	PathHistory  = "/v1/config/history"  // GET, returns History.
	PathApply    = "/v1/config/apply"    // POST ApplyRequest, returns ChangeResponse.
	PathRollback = "/v1/config/rollback" // POST RollbackRequest, returns ChangeResponse.
	PathDrain    = "/v1/config/drain"    // POST DrainRequest, returns ChangeResponse.
	PathLost     = "/v1/config/lost"     // POST LostRequest, returns ChangeResponse.
	PathMetrics  = "/debug/vars"         // GET, returns the variables of expvar.
)

// Bounds of the interface.
const (
	// MaxRequestBytes is the largest body of a request.
	MaxRequestBytes = 2 << 20
	// MaxEvents is the largest number of events in one response.
	MaxEvents = 1000
	// maxConcurrent bounds the requests that are handled concurrently.
	maxConcurrent = 32
	// changeTimeout bounds one change, including the attempts to determine its
	// outcome in the store.
	changeTimeout = 10 * time.Second
	// readTimeout bounds a read from the store.
	readTimeout = 5 * time.Second
	// explainedEvents is the number of most recent events that Explain searches.
	explainedEvents = 500
	// explainedChanges is the largest number of events in an Explanation.
	explainedChanges = 10
)

// Source provides the state of the daemon. Its methods must be safe for
// concurrent use and must not block.
type Source interface {
	// Status returns the state of the fleet; the Server adds Build, Lost and
	// ExpiredExceptions.
	Status() Status
	// Owners returns the owners of a service's units, and false for an unknown
	// service.
	Owners(service string) (Owners, bool)
	// Explain returns which server owns a key and why, and false for an unknown
	// service; the Server adds Changes.
	Explain(service, key string) (Explanation, bool)
	// Events returns at most limit of the kept events whose cursor is at least
	// from, oldest first; the Server adds Name and Level. NextEvent returns the
	// cursor that the next event will get.
	Events(from uint64, limit int) []LoggedEvent
	NextEvent() uint64
	// Configuration returns the revision and the configuration in force on this
	// VM, zero and nil if there is none yet.
	Configuration() (config.Revision, *config.Configuration)
}

// Options configures a Server.
type Options struct {
	// Token is the shared secret; it must not be empty.
	Token     string
	Source    Source
	Revisions *revision.Repository
	// Build identifies the daemon's build.
	Build string
	// Now is the wall clock to which the end dates of exceptions are compared.
	// Nil means time.Now.
	Now func() time.Time
	// OnEvent receives numbered events; nil discards them.
	OnEvent func(event.Event)
}

// Server handles the requests of operators.
type Server struct {
	options Options
	token   [sha256.Size]byte
	running chan struct{}
}

// New returns a Server.
func New(options Options) (*Server, error) {
	if options.Token == "" {
		return nil, errors.New("operator: empty token")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnEvent == nil {
		options.OnEvent = func(event.Event) {}
	}
	server := &Server{
		options: options,
		token:   sha256.Sum256([]byte(options.Token)),
		running: make(chan struct{}, maxConcurrent),
	}
	return server, nil
}

// Handler returns the handler for the operator address. It must not be mounted on
// any other address.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathVersion, serveRead(s.version))
	mux.HandleFunc("GET "+PathStatus, serveRead(s.status))
	mux.HandleFunc("GET "+PathOwners, serveRead(s.owners))
	mux.HandleFunc("GET "+PathExplain, serveRead(s.explain))
	mux.HandleFunc("GET "+PathEvents, serveRead(s.events))
	mux.HandleFunc("GET "+PathConfig, serveRead(s.record))
	mux.HandleFunc("GET "+PathHistory, serveRead(s.history))
	mux.HandleFunc("POST "+PathApply, serveChange(s, s.apply))
	mux.HandleFunc("POST "+PathRollback, serveChange(s, s.rollback))
	mux.HandleFunc("POST "+PathDrain, serveChange(s, s.drain))
	mux.HandleFunc("POST "+PathLost, serveChange(s, s.declareLost))
	mux.Handle("GET "+PathMetrics, expvar.Handler())
	mux.HandleFunc("/", unknownPath)
	return s.authorize(mux)
}

// NewHTTPServer returns a server for the operator listener, with timeouts and
// limits set.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       15 * time.Second,
		WriteTimeout:      30 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
}

// authorize checks the token, and limits the number of concurrent requests and
// the size of their bodies.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderInterface, strconv.Itoa(InterfaceVersion))
		if !s.authorized(r) {
			s.options.OnEvent(event.New(event.OperatorTokenRefused, "missing or wrong token", "from", remoteHost(r), "path", r.URL.Path))
			writeProblem(w, problemf(CodeTokenRefused, "the token is missing or wrong"))
			return
		}
		select {
		case s.running <- struct{}{}:
			defer func() { <-s.running }()
		default:
			s.options.OnEvent(event.New(event.OperatorBusy, "too many requests under way", "from", remoteHost(r)))
			writeProblem(w, problemf(CodeBusy, "more than %d operator requests are under way", maxConcurrent))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

// authorized compares the hashes of the tokens in constant time.
func (s *Server) authorized(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	given := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(given[:], s.token[:]) == 1 && found
}

// remoteHost returns the IP address of the client.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// serveRead handles a request that changes nothing.
func serveRead[Response any](handle func(r *http.Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
		defer cancel()
		found, err := handle(r.WithContext(ctx))
		if err != nil {
			writeProblem(w, problemOf(err))
			return
		}
		writeJSON(w, http.StatusOK, found)
	}
}

// serveChange handles a request that changes the configuration. The change is
// completed even if the operator's connection breaks.
func serveChange[Request any](s *Server, run func(context.Context, Request) (ChangeResponse, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, problem := decode[Request](r)
		if problem != nil {
			writeProblem(w, problem)
			return
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
		defer cancel()
		applied, err := run(ctx, request)
		if err != nil {
			problem := problemOf(err)
			s.report(problem)
			writeProblem(w, problem)
			return
		}
		writeJSON(w, http.StatusOK, applied)
	}
}

// decode decodes the body of a request. Unknown fields and trailing data are errors.
func decode[Request any](r *http.Request) (Request, *Problem) {
	var request Request
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return request, nil
		}
		if err == nil {
			err = errors.New("more than one value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request, problemf(CodeTooLarge, "the request is larger than %d bytes", tooLarge.Limit)
	}
	return request, problemf(CodeMalformed, "the request is malformed: %s", err)
}

// unknownPath handles requests that this version of the interface does not have.
func unknownPath(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, problemf(CodeUnknownPath, "no %s %s in version %d of the operator interface", r.Method, r.URL.Path, InterfaceVersion))
}

func writeProblem(w http.ResponseWriter, problem *Problem) {
	writeJSON(w, problem.Status(), problem)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
