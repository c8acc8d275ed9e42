// Package operator is the operator interface of a daemon: HTTP and JSON on its
// own address, with a shared token.
//
// Every answer carries HeaderInterface. A refused request is answered with a
// Problem. Changes of the configuration carry a change identifier, so that
// sending one again is safe. docs/operators/ shows the use of the interface.
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

// InterfaceVersion numbers the interface. A daemon answers every request of an
// equal or lower version.
const InterfaceVersion = 1

// HeaderInterface carries InterfaceVersion on every answer.
const HeaderInterface = "Guavacrank-Operator-Interface"

// Paths of the interface.
const (
	PathVersion  = "/v1/version"         // GET, answers Version.
	PathStatus   = "/v1/status"          // GET, answers Status.
	PathOwners   = "/v1/owners"          // GET ?service=, answers Owners.
	PathExplain  = "/v1/explain"         // GET ?service=&key=, answers Explanation.
	PathEvents   = "/v1/events"          // GET ?from=&limit=, answers Events.
	PathConfig   = "/v1/config"          // GET ?revision=, answers config.Record.
	PathHistory  = "/v1/config/history"  // GET, answers History.
	PathApply    = "/v1/config/apply"    // POST ApplyRequest, answers Applied.
	PathRollback = "/v1/config/rollback" // POST RollbackRequest, answers Applied.
	PathDrain    = "/v1/config/drain"    // POST DrainRequest, answers Applied.
	PathLost     = "/v1/config/lost"     // POST LostRequest, answers Applied.
	PathMetrics  = "/debug/vars"         // GET, answers the variables of expvar.
)

// Bounds of the interface.
const (
	// MaxRequestBytes is the largest body of a request.
	MaxRequestBytes = 2 << 20
	// MaxEvents is the largest number of events in one answer.
	MaxEvents = 1000
	// maxConcurrent is the number of requests that run at once.
	maxConcurrent = 32
	// changeTimeout bounds the settling of one change in the store.
	changeTimeout = 10 * time.Second
	// readTimeout bounds a read from the store.
	readTimeout = 5 * time.Second
	// explainedEvents is the number of events of the newest ones that Explain searches.
	explainedEvents = 500
	// explainedChanges is the number of events in an Explanation.
	explainedChanges = 10
)

// Source is what the daemon knows. Its methods are called from many
// goroutines and must not block.
type Source interface {
	// Status returns the state of the fleet; the interface adds Build, Lost and Expired.
	Status() Status
	// Owners returns who owns what, and false for an unknown service.
	Owners(service string) (Owners, bool)
	// Explain tells who serves a key and why, and false for an unknown service;
	// the interface adds Changes.
	Explain(service, key string) (Explanation, bool)
	// Events returns kept events with a cursor of at least from, oldest first,
	// at most limit; the interface adds Name and Level. NextEvent is the cursor
	// of the next event to happen.
	Events(from uint64, limit int) []LoggedEvent
	NextEvent() uint64
	// Configuration returns what is in force on this VM, zero and nil before
	// there is any.
	Configuration() (config.Revision, *config.Configuration)
}

// Options configures a Server.
type Options struct {
	// Token is the shared secret; empty is an error.
	Token     string
	Source    Source
	Revisions *revision.Repository
	// Build names the daemon's build.
	Build string
	// Now is the wall clock, against which the dates of exceptions are shown.
	// Nil takes time.Now.
	Now func() time.Time
	// OnEvent receives numbered events; nil discards them.
	OnEvent func(event.Event)
}

// Server answers operators.
type Server struct {
	options Options
	token   [sha256.Size]byte
	busy    chan struct{}
}

// New returns a server.
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
		busy:    make(chan struct{}, maxConcurrent),
	}
	return server, nil
}

// Handler returns the handler to mount on the operator address, and on no other.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathVersion, read(s.version))
	mux.HandleFunc("GET "+PathStatus, read(s.status))
	mux.HandleFunc("GET "+PathOwners, read(s.owners))
	mux.HandleFunc("GET "+PathExplain, read(s.explain))
	mux.HandleFunc("GET "+PathEvents, read(s.events))
	mux.HandleFunc("GET "+PathConfig, read(s.record))
	mux.HandleFunc("GET "+PathHistory, read(s.history))
	mux.HandleFunc("POST "+PathApply, change(s, s.apply))
	mux.HandleFunc("POST "+PathRollback, change(s, s.rollback))
	mux.HandleFunc("POST "+PathDrain, change(s, s.drain))
	mux.HandleFunc("POST "+PathLost, change(s, s.declareLost))
	mux.Handle("GET "+PathMetrics, expvar.Handler())
	mux.HandleFunc("/", unknownPath)
	return s.guard(mux)
}

// NewHTTPServer returns a server for the operator listener with its time-outs
// and limits.
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

// guard checks the token, and bounds the requests under way and their bodies.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderInterface, strconv.Itoa(InterfaceVersion))
		if !s.authorized(r) {
			s.options.OnEvent(event.New(event.OperatorTokenRefused, "missing or wrong token", "from", remoteHost(r), "path", r.URL.Path))
			writeProblem(w, problemf(CodeTokenRefused, "the token is missing or wrong"))
			return
		}
		select {
		case s.busy <- struct{}{}:
			defer func() { <-s.busy }()
		default:
			s.options.OnEvent(event.New(event.OperatorBusy, "too many requests under way", "from", remoteHost(r)))
			writeProblem(w, problemf(CodeBusy, "more than %d operator requests are under way", maxConcurrent))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

// authorized compares tokens by their hashes in constant time.
func (s *Server) authorized(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	given := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(given[:], s.token[:]) == 1 && found
}

// remoteHost returns the IP number of the other side.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// read answers a request that changes nothing.
func read[Answer any](answer func(r *http.Request) (Answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
		defer cancel()
		found, err := answer(r.WithContext(ctx))
		if err != nil {
			writeProblem(w, problemOf(err))
			return
		}
		writeJSON(w, http.StatusOK, found)
	}
}

// change answers a request that changes the configuration. The change goes on
// to its outcome when the operator's connection breaks.
func change[Request any](s *Server, run func(context.Context, Request) (ChangeResponse, error)) http.HandlerFunc {
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

// decode reads the body of a request, strictly.
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

// unknownPath answers what this version does not know.
func unknownPath(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, problemf(CodeUnknownPath, "no %s %s in version %d of the operator interface", r.Method, r.URL.Path, InterfaceVersion))
}

func writeProblem(w http.ResponseWriter, problem *Problem) {
	writeJSON(w, problem.Status(), problem)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator has gone.
	_ = json.NewEncoder(w).Encode(value)
}
