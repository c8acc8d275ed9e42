package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/event"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const token = "a-token-of-some-length"

// source is a daemon with fixed state.
type source struct {
	inForce *config.Configuration
	log     []operator.LoggedEvent
	// moved is set once the units have moved to other servers.
	moved atomic.Bool
}

func (s *source) Status() operator.Status {
	return operator.Status{VM: "entry-1", FleetRevision: 1, InForce: 12, VMCount: 12}
}

func (s *source) Owners(service string) (operator.Owners, bool) {
	units := []operator.Owner{{Unit: 0, Server: "cat-3"}, {Unit: 1, Server: "cat-3"}}
	if s.moved.Load() {
		units = nil
	}
	return operator.Owners{Service: service, DividedByKey: true, Units: units}, service == "catalogue"
}

func (s *source) Explain(service, key string) (operator.Explanation, bool) {
	return operator.Explanation{Service: service, Key: key}, service == "catalogue"
}

func (s *source) Events(from uint64, limit int) []operator.LoggedEvent {
	var found []operator.LoggedEvent
	for _, logged := range s.log {
		if logged.Cursor >= from && len(found) < limit {
			found = append(found, logged)
		}
	}
	return found
}

func (s *source) NextEvent() uint64 { return 3 + uint64(len(s.log)) }

func (s *source) Configuration() (config.Revision, *config.Configuration) { return 1, s.inForce }

// events collects the numbers of events.
type events struct {
	mu       sync.Mutex
	received []event.Number
}

func (e *events) add(added event.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, added.Number)
}

func (e *events) numbers() []event.Number {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]event.Number(nil), e.received...)
}

// verhaegen returns the text of the example configuration.
func verhaegen() string {
	state, err := os.ReadFile("../../examples/verhaegen.yaml")
	Expect(err).NotTo(HaveOccurred())
	return string(state)
}

// problemOf returns the daemon's Problem in err.
func problemOf(err error) *operator.Problem {
	GinkgoHelper()
	var problem *operator.Problem
	Expect(errors.As(err, &problem)).To(BeTrue(), "%v", err)
	return problem
}

// closedAddress returns an address that refuses connections: the local address of
// an open connection, so that no other process can listen on it.
func closedAddress() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	connection, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	DeferCleanup(connection.Close)
	return connection.LocalAddr().String()
}

var _ = Describe("Server", func() {
	ctx := context.Background()
	var (
		store *memstore.Store
		state *source
		log   *events
		web   *httptest.Server
		call  *client.Client
	)
	BeforeEach(func() {
		store = memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		state = &source{}
		log = &events{}
		noWait := func(context.Context, time.Duration) error { return context.DeadlineExceeded }
		server, err := operator.New(operator.Options{
			Token:     token,
			Source:    state,
			Revisions: revision.New(revision.Options{Store: store, Wait: noWait, OnWritten: func(kvstore.Entry) { state.moved.Store(true) }}),
			Now:       func() time.Time { return time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC) },
			OnEvent:   log.add,
		})
		Expect(err).NotTo(HaveOccurred())
		web = httptest.NewServer(server.Handler())
		DeferCleanup(web.Close)
		call = client.New(client.Options{Address: web.Listener.Addr().String(), Token: token, MaxAttempts: 1})
		DeferCleanup(call.Close)
	})
	apply := func(id string, base config.Revision, text string) (operator.ChangeResponse, error) {
		return call.Apply(ctx, operator.ApplyRequest{ChangeID: id, Base: base, Author: "an", Reason: "r", File: "c.yaml", YAML: text})
	}

	It("applies, drains, declares a loss and rolls back, each as a new revision", func() {
		applied, err := apply("a", 0, verhaegen())
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Revision).To(Equal(config.Revision(1)))
		state.moved.Store(false)
		applied, err = call.Drain(ctx, operator.DrainRequest{ChangeID: "b", Server: "cat-3", Draining: true, Author: "an", Reason: "kernel"})
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Changes).To(HaveLen(1))
		Expect(applied.Consequences[0].Effect).To(Equal("drains: 2 shards and keys of catalogue move to other servers"))
		applied, err = call.Drain(ctx, operator.DrainRequest{ChangeID: "b", Server: "cat-3", Draining: true, Author: "an", Reason: "kernel"})
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Revision).To(Equal(config.Revision(2)), "a repeated request is the same change")
		Expect(applied.Changes).To(BeEmpty())
		_, err = call.DeclareLost(ctx, operator.LostRequest{ChangeID: "c", Kind: config.LostVM, Name: "entry-4", Author: "an", Reason: "burnt"})
		Expect(err).NotTo(HaveOccurred())
		applied, err = call.Rollback(ctx, operator.RollbackRequest{ChangeID: "d", Base: 3, To: 1, Author: "an", Reason: "oops"})
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Revision).To(Equal(config.Revision(4)))
		Expect(applied.Changes).To(HaveLen(2))
		history, err := call.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(history.Revisions).To(HaveLen(4))
		record, err := call.Record(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.YAML).To(ContainSubstring("{draining: true, name: cat-3,"))
		Expect(log.numbers()).To(ContainElements(event.ConfigurationApplied, event.ServerDrainChanged, event.LossDeclared))
	})

	It("reports the differences on a dry run, and applies nothing", func() {
		_, err := apply("a", 0, verhaegen())
		Expect(err).NotTo(HaveOccurred())
		request := operator.ApplyRequest{Base: 1, File: "c.yaml", YAML: strings.Replace(verhaegen(), "slots: 6", "slots: 5", 1), DryRun: true}
		applied, err := call.Apply(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.DryRun).To(BeTrue())
		Expect(applied.Changes[0].String()).To(Equal("~ server cat-1: slots: 6 -> 5"))
		record, _ := call.Record(ctx, 0)
		Expect(record.Revision).To(Equal(config.Revision(1)))
	})

	It("returns the revision in force with a conflict, and the errors of an invalid file", func() {
		_, err := apply("a", 0, verhaegen())
		Expect(err).NotTo(HaveOccurred())
		_, err = apply("b", 0, verhaegen())
		problem := problemOf(err)
		Expect(problem.Code).To(Equal(operator.CodeConflict))
		Expect(problem.Conflict.InForce.Author).To(Equal("an"))
		_, err = apply("c", 1, strings.Replace(verhaegen(), "deadline: 800ms", "deadline: 800", 1))
		problem = problemOf(err)
		Expect(problem.Code).To(Equal(operator.CodeInvalid))
		Expect(problem.Faults[0].Field).To(Equal("services[0].classes[0].deadline"))
		Expect(log.numbers()).To(ContainElements(event.ConfigurationConflict, event.ConfigurationRefused))
	})

	It("rejects changes without identifier or author and a rollback to a missing revision, also before there is any configuration", func() {
		_, err := call.Drain(ctx, operator.DrainRequest{Server: "cat-3", Draining: true, Author: "an", Reason: "r"})
		Expect(problemOf(err).Faults[0].Field).To(Equal("change_id"))
		_, err = call.DeclareLost(ctx, operator.LostRequest{ChangeID: "a", Kind: config.LostVM, Name: "entry-4", Reason: "r"})
		Expect(problemOf(err).Faults[0].Field).To(Equal("author"))
		_, err = call.Rollback(ctx, operator.RollbackRequest{ChangeID: "a", To: 1, Author: "an"})
		Expect(problemOf(err).Code).To(Equal(operator.CodeNotFound))
	})

	It("distinguishes a change that was not applied from an unknown outcome", func() {
		store.SetFaults(memstore.Faults{Outage: true})
		_, err := apply("a", 0, verhaegen())
		Expect(problemOf(err).Code).To(Equal(operator.CodeStoreUnavailable))
		store.SetFaults(memstore.Faults{LostReplies: memstore.LostCalls{Count: 9, Prefix: kvstore.ConfigKey}})
		_, err = apply("b", 0, verhaegen())
		var failure *client.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Kind).To(Equal(client.KindUnknownOutcome))
		Expect(err.Error()).To(ContainSubstring("-change-id b"))
		store.SetFaults(memstore.Faults{})
		applied, err := apply("b", 0, verhaegen())
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Revision).To(Equal(config.Revision(1)))
	})

	It("rejects requests to every path without the token", func() {
		for _, given := range []string{"", "Bearer ", "Bearer wrong", token} {
			for _, path := range []string{operator.PathVersion, operator.PathStatus, operator.PathApply, operator.PathMetrics, "/other"} {
				request, _ := http.NewRequest(http.MethodPost, web.URL+path, strings.NewReader("{}"))
				request.Header.Set("Authorization", given)
				response, err := http.DefaultClient.Do(request)
				Expect(err).NotTo(HaveOccurred())
				response.Body.Close()
				Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
			}
		}
		Expect(log.numbers()).To(ContainElement(event.OperatorTokenRefused))
		_, err := operator.New(operator.Options{})
		Expect(err).To(MatchError("operator: empty token"))
	})

	It("rejects malformed bodies, unknown fields and oversized bodies", func() {
		post := func(body io.Reader) *operator.Problem {
			request, _ := http.NewRequest(http.MethodPost, web.URL+operator.PathApply, body)
			request.Header.Set("Authorization", "Bearer "+token)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			problem := new(operator.Problem)
			Expect(json.NewDecoder(response.Body).Decode(problem)).To(Succeed())
			Expect(response.StatusCode).To(Equal(problem.Status()))
			return problem
		}
		for _, body := range []string{"", "{", "[]", `{"colour": 1}`, `{"base": -1}`, "{} {}"} {
			Expect(post(strings.NewReader(body)).Code).To(Equal(operator.CodeMalformed), body)
		}
		large := append([]byte(`{"yaml": "`), bytes.Repeat([]byte("x"), operator.MaxRequestBytes)...)
		Expect(post(bytes.NewReader(large)).Code).To(Equal(operator.CodeTooLarge))
	})

	It("numbers events, counts missed ones and resets the cursor after a daemon restart", func() {
		for cursor := range uint64(5) {
			state.log = append(state.log, operator.LoggedEvent{Cursor: cursor + 3, Number: event.LossDeclared})
		}
		response, err := call.Events(ctx, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Missed).To(Equal(uint64(2)))
		Expect(response.Next).To(Equal(uint64(5)))
		Expect(response.Events[0].Name).To(Equal("loss-declared"))
		Expect(response.Events[0].Level).To(Equal("warn"))
		response, err = call.Events(ctx, 100, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Next).To(Equal(uint64(8)))
	})

	It("explains a key with the most recent events of its service", func() {
		fields := []event.Field{{Name: "service", Value: "catalogue"}}
		state.log = []operator.LoggedEvent{{Cursor: 3, Fields: fields}, {Cursor: 4}, {Cursor: 5, Fields: fields}}
		explanation, err := call.Explain(ctx, "catalogue", "design/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(explanation.Changes).To(HaveLen(2))
		Expect(explanation.Changes[0].Cursor).To(Equal(uint64(5)))
		_, err = call.Explain(ctx, "prints", "design/1")
		Expect(problemOf(err).Code).To(Equal(operator.CodeNotFound))
	})

	It("lists declared losses and exceptions past their end date", func() {
		text := verhaegen() + "    until: 2026-12-31\nlost: [{kind: vm, name: entry-4, reason: burnt}]\n"
		var err error
		state.inForce, err = config.ParseConfiguration("c.yaml", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		status, err := call.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Lost).To(HaveLen(1))
		Expect(status.ExpiredExceptions).To(HaveLen(1))
		Expect(status.ExpiredExceptions[0].For).To(Equal("class printing/reprint-order"))
	})
})

var _ = Describe("Client", func() {
	// newClient starts a server with the handler and returns a client for it.
	newClient := func(handler http.HandlerFunc) *client.Client {
		web := httptest.NewServer(handler)
		DeferCleanup(web.Close)
		call := client.New(client.Options{Address: web.Listener.Addr().String(), Token: token, Timeout: 200 * time.Millisecond, MaxAttempts: 2})
		DeferCleanup(call.Close)
		return call
	}
	kindOf := func(err error) client.Kind {
		GinkgoHelper()
		var failure *client.Error
		Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		Expect(err.Error()).NotTo(ContainSubstring("\n"))
		return failure.Kind
	}

	It("reports a refused connection in one line", func() {
		address := closedAddress()
		call := client.New(client.Options{Address: address, Token: token})
		_, err := call.Status(context.Background())
		Expect(kindOf(err)).To(Equal(client.KindUnreachable))
		Expect(err.Error()).To(Equal("no daemon answers at " + address + ": connect: connection refused"))
		_, err = call.Apply(context.Background(), operator.ApplyRequest{ChangeID: "a"})
		Expect(kindOf(err)).To(Equal(client.KindUnreachable))
	})

	It("distinguishes another kind of server from an older daemon", func() {
		_, err := newClient(http.NotFound).Status(context.Background())
		Expect(kindOf(err)).To(Equal(client.KindNotDaemon))
		old := newClient(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(operator.HeaderInterface, "0")
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(operator.Problem{Code: operator.CodeUnknownPath, Message: "no path"})
		})
		_, err = old.Status(context.Background())
		Expect(kindOf(err)).To(Equal(client.KindOldDaemon))
	})

	It("times out on a daemon that does not respond, and reports an unknown outcome", func() {
		call := newClient(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		_, err := call.Status(context.Background())
		Expect(kindOf(err)).To(Equal(client.KindNoResponse))
		_, err = call.Apply(context.Background(), operator.ApplyRequest{ChangeID: "a"})
		Expect(kindOf(err)).To(Equal(client.KindUnknownOutcome))
	})

	It("resolves a change whose response was truncated by sending it again", func() {
		var ids []string
		call := newClient(func(w http.ResponseWriter, r *http.Request) {
			var request operator.ApplyRequest
			_ = json.NewDecoder(r.Body).Decode(&request)
			ids = append(ids, request.ChangeID)
			w.Header().Set(operator.HeaderInterface, "1")
			if len(ids) == 1 {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, `{"revision": 7`)
				return
			}
			_ = json.NewEncoder(w).Encode(operator.ChangeResponse{Revision: 7})
		})
		applied, err := call.Apply(context.Background(), operator.ApplyRequest{ChangeID: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Revision).To(Equal(config.Revision(7)))
		Expect(ids).To(Equal([]string{"a", "a"}))
	})
})

func FuzzChanges(f *testing.F) {
	f.Add(operator.PathApply, []byte(`{"change_id":"a","author":"an","reason":"r","file":"f","yaml":"services: []"}`))
	f.Add(operator.PathDrain, []byte(`{"change_id":"a","server":"s","draining":true,"author":"an","reason":"r"}`))
	f.Add(operator.PathLost, []byte(`{"kind":"zone","name":"z","reason":"\u0000"}`))
	f.Add(operator.PathRollback, []byte(`{"to":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		store := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		server, err := operator.New(operator.Options{Token: token, Source: &source{}, Revisions: revision.New(revision.Options{Store: store})})
		if err != nil {
			t.Fatal(err)
		}
		request := httptest.NewRequest(http.MethodPost, operator.PathApply, bytes.NewReader(body))
		request.URL.Path = path
		request.Header.Set("Authorization", "Bearer "+token)
		response := httptest.NewRecorder()
		server.Handler().ServeHTTP(response, request)
		record, err := revision.New(revision.Options{Store: store}).Current(t.Context())
		accepted := response.Code == http.StatusOK && !strings.Contains(response.Body.String(), `"dry_run":true`)
		if err != nil || accepted != (record.Revision == 1) {
			t.Fatalf("status %d with revision %d in force: %v", response.Code, record.Revision, err)
		}
	})
}
