package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

// dialect is a small protocol of the tests' own.
type dialect struct{}

func (dialect) ReadRequest(http.Header) (port.RequestHead, error) { return port.RequestHead{}, nil }

func (dialect) WriteSend(header http.Header, head port.SendHead) {
	header["For"] = []string{head.Server}
	header["Left"] = []string{head.TimeLeft.String()}
}

func (dialect) ReadAnswer(status int, header http.Header) port.AnswerHead {
	return port.AnswerHead{
		NotRun:      header.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest,
		Server:      header.Get("Is"),
		Proved:      header.Get("Proof") != "",
	}
}

// bed is a dispatcher with one service.
type bed struct {
	*GomegaWithT
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	views      *view.Publisher
	service    *view.Service
	route      *model.Route
	budget     *budget.Budget
	began      time.Time
}

func newBed(t *testing.T, idempotent bool) *bed {
	b := &bed{GomegaWithT: NewWithT(t), t: t, views: view.NewPublisher(), began: time.Now().Add(-time.Second)}
	b.route = &model.Route{Name: "r", Idempotent: idempotent, MaxAttempts: 2, LatencyObjective: 200 * time.Millisecond}
	b.service = &view.Service{Service: model.Service{Name: "s"}, Owners: make(map[model.Life]*balance.Server)}
	b.budget = budget.New(budget.Options{Window: 10 * time.Second, Slack: 100})
	b.budget.SetVMs(1)
	b.dispatcher = dispatch.New(dispatch.Options{Dialect: dialect{}, Budget: b.budget, Views: b.views, Clock: b.clock})
	b.publish()
	return b
}

func (b *bed) clock() time.Duration { return time.Since(b.began) }

func (b *bed) publish() {
	copied := *b.service
	b.views.Publish(&view.View{Configuration: &model.Configuration{}, Services: map[string]*view.Service{"s": &copied}})
}

// add adds a server that answers with a handler and returns how often it was
// asked.
func (b *bed) add(id string, handler http.HandlerFunc) *atomic.Int64 {
	asked := new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		handler(w, r)
	}))
	b.t.Cleanup(server.Close)
	b.t.Cleanup(server.CloseClientConnections)
	b.addAddress(id, server.Listener.Addr().String())
	return asked
}

func (b *bed) addAddress(id, address string) {
	target := &balance.Server{Server: model.Server{ID: id, Service: "s", Address: address, Slots: 4},
		Pool: upstream.NewPool(upstream.Options{Address: address, Connections: 8, AcceptUnframed: true})}
	b.service.Servers = append(b.service.Servers, target)
	b.service.Owners[target.Life()] = target
	b.publish()
}

// do dispatches a request with the given time.
func (b *bed) do(allowed time.Duration) dispatch.Result {
	ctx, cancel := context.WithTimeout(context.Background(), allowed)
	defer cancel()
	return b.doWith(ctx, allowed)
}

func (b *bed) doWith(ctx context.Context, allowed time.Duration) dispatch.Result {
	now := b.clock()
	return b.dispatcher.Do(ctx, &dispatch.Request{
		Head: port.RequestHead{ID: "x", Key: 7, HasKey: true}, Method: "GET", Target: "/a?b", Host: "h", Header: http.Header{},
		Route: b.route, Service: "s", Arrived: now, Deadline: now + allowed,
	})
}

func good(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "1")
	_, _ = w.Write([]byte("body"))
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func lost(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestDo(t *testing.T) {
	t.Run("passes a whole answer on", func(t *testing.T) {
		b := newBed(t, false)
		b.add("a", good)
		result := b.do(time.Second)
		b.Expect(result.Verdict).To(Equal(verdict.Answered))
		b.Expect(string(result.Response.Body)).To(Equal("body"))
		b.Expect(result.Attempts).To(HaveLen(1))
	})

	t.Run("asks another server after proof that the first did not run it", func(t *testing.T) {
		b := newBed(t, false)
		full := b.add("full", notRun)
		b.add("b", good)
		for range 10 {
			b.Expect(b.do(time.Second).Verdict).To(Equal(verdict.Answered))
		}
		b.Expect(full.Load()).To(BeNumerically("<=", 10))
	})

	t.Run("ends a non-idempotent request whose answer was lost", func(t *testing.T) {
		b := newBed(t, false)
		first, second := b.add("a", lost), b.add("b", lost)
		result := b.do(time.Second)
		b.Expect(result.Verdict).To(Equal(verdict.MayHaveRun))
		b.Expect(result.RetryAfter).To(BeZero())
		b.Expect(first.Load() + second.Load()).To(Equal(int64(1)))
	})

	t.Run("repeats an idempotent one within the route's attempts", func(t *testing.T) {
		b := newBed(t, true)
		first, second, third := b.add("a", lost), b.add("b", lost), b.add("c", lost)
		b.Expect(b.do(time.Second).Verdict).To(Equal(verdict.MayHaveRun))
		b.Expect(first.Load() + second.Load() + third.Load()).To(Equal(int64(2)))
	})

	t.Run("does not repeat without a budget", func(t *testing.T) {
		b := newBed(t, true)
		b.budget.SetOptions(budget.Options{Window: 10 * time.Second})
		first, second := b.add("a", lost), b.add("b", lost)
		b.Expect(b.do(time.Second).Verdict).To(Equal(verdict.MayHaveRun))
		b.Expect(first.Load() + second.Load()).To(Equal(int64(1)))
	})

	t.Run("tries other servers for free while none can be reached, then says not run", func(t *testing.T) {
		b := newBed(t, false)
		for _, id := range []string{"a", "b", "c"} {
			closed := httptest.NewServer(nil)
			address := closed.Listener.Addr().String()
			closed.Close()
			b.addAddress(id, address)
		}
		result := b.do(time.Second)
		b.Expect(result.Verdict).To(Equal(verdict.NotRun))
		b.Expect(result.Attempts).To(HaveLen(3))
		b.Expect(result.RetryAfter).To(BeNumerically("~", 300*time.Millisecond, 50*time.Millisecond))
	})

	t.Run("sends an idempotent request that takes long to a second server, and cancels the first", func(t *testing.T) {
		b := newBed(t, true)
		cancelled := make(chan struct{}, 1)
		slow := b.add("slow", func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			cancelled <- struct{}{}
		})
		served := b.add("good", good)
		asked := int64(0)
		for asked < 3 || slow.Load() == 0 { // Which of two unknown servers comes first is random.
			b.Expect(b.do(2 * time.Second).Verdict).To(Equal(verdict.Answered))
			asked++
		}
		b.Expect(served.Load()).To(Equal(asked))
		b.Eventually(cancelled, "500ms").Should(Receive())
	})

	t.Run("never sends a non-idempotent request twice, however long it takes", func(t *testing.T) {
		b := newBed(t, false)
		first, second := b.add("a", hang), b.add("b", hang)
		result := b.do(600 * time.Millisecond)
		b.Expect(result.Verdict).To(Equal(verdict.MayHaveRun))
		b.Expect(result.Code).To(Equal(verdict.CodeTimeout))
		b.Expect(first.Load() + second.Load()).To(Equal(int64(1)))
	})

	t.Run("cancels the server's work when the caller leaves", func(t *testing.T) {
		b := newBed(t, false)
		over := make(chan struct{})
		b.add("a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(over) })
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		b.Expect(b.doWith(ctx, 5*time.Second).Code).To(Equal(verdict.CodeCallerGone))
		b.Eventually(over, "500ms").Should(BeClosed())
	})

	t.Run("takes an unproved success for no answer", func(t *testing.T) {
		b := newBed(t, false)
		b.add("a", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("from nobody")) })
		b.Expect(b.do(time.Second).Verdict).To(Equal(verdict.MayHaveRun))
	})

	t.Run("passes a server's own fault on if no other server answers", func(t *testing.T) {
		b := newBed(t, true)
		b.add("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Proof", "1")
			w.WriteHeader(http.StatusInternalServerError)
		})
		result := b.do(time.Second)
		b.Expect(result.Verdict).To(Equal(verdict.Answered))
		b.Expect(result.Response.Status).To(Equal(http.StatusInternalServerError))
	})

	t.Run("does not ask a server again whose address another one has", func(t *testing.T) {
		b := newBed(t, true)
		gone := b.add("gone", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Is", "another")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		for range 5 {
			b.Expect(b.do(time.Second).Verdict).To(Equal(verdict.NotRun))
		}
		b.Expect(gone.Load()).To(Equal(int64(1)))
	})
}

func TestDoByKey(t *testing.T) {
	page := func(id string, prior bool) *keys.Page {
		r := keys.Range{From: 0, To: 65535, Owner: keys.Holder{Life: model.Life{ID: id}}}
		if prior {
			r.Prior = []keys.Holder{{}}
		}
		return &keys.Page{Ranges: []keys.Range{r}}
	}
	t.Run("waits a moment for an owner and sends to it alone", func(t *testing.T) {
		b := newBed(t, true)
		b.service.DividedByKey = true
		owner, other := b.add("owner", good), b.add("other", good)
		b.service.Page = page("owner", true)
		b.publish()
		time.AfterFunc(30*time.Millisecond, func() {
			b.service.Page = page("owner", false)
			b.publish()
		})
		b.Expect(b.do(time.Second).Verdict).To(Equal(verdict.Answered))
		b.Expect(owner.Load()).To(Equal(int64(1)))
		b.Expect(other.Load()).To(BeZero())
	})

	t.Run("says not run when nobody owns the key for long", func(t *testing.T) {
		b := newBed(t, true)
		b.service.DividedByKey = true
		b.publish()
		began := time.Now()
		result := b.do(2 * time.Second)
		b.Expect(result.Verdict).To(Equal(verdict.NotRun))
		b.Expect(result.Code).To(Equal(verdict.CodeNoOwner))
		b.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	})
}
