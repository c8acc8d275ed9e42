package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/elapsed"
	"guavacrank.example/traffic/metric"
)

// fixedCodec returns the same RequestHead for every request.
type fixedCodec struct {
	port.HeaderCodec
	head port.RequestHead
}

func (d fixedCodec) ReadRequest(http.Header) (port.RequestHead, error) { return d.head, nil }

// testMemory is the memory limit of a handler's process.
const testMemory = 64 << 20

// newHandler returns a handler without a view, for requests with the given time
// left.
func newHandler(t testing.TB, timeLeft time.Duration) (*Handler, *view.Publisher) {
	log := logbook.New(io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	views := view.NewPublisher()
	return New(Options{
		HeaderCodec: fixedCodec{head: port.RequestHead{ID: "r", TimeLeft: timeLeft}},
		Dispatcher:  dispatch.New(dispatch.Options{Clock: elapsed.Now}),
		Views:       views, Log: log, Metrics: &metric.Table{}, Clock: elapsed.Now, Memory: memory.NewAccount(testMemory),
	}), views
}

// serve serves one request and returns its status and duration.
func serve(h *Handler) (status int, duration time.Duration) {
	start := time.Now()
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h.example/a/", nil))
	return recorder.Code, time.Since(start)
}

// On a virtual clock, so that no load of the machine makes anything late.
func TestStarting(t *testing.T) {
	t.Run("a request waits for the first configuration", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, views := newHandler(t, 4*time.Second)
			time.AfterFunc(100*time.Millisecond, func() {
				empty := &model.Configuration{}
				views.Publish(&view.View{Configuration: empty, Routes: routing.NewTable(empty)})
			})
			status, duration := serve(h)
			g.Expect(status).To(Equal(http.StatusNotFound), "the configuration has no route")
			g.Expect(duration).To(Equal(100*time.Millisecond), "no longer than that")
		})
	})

	t.Run("a request is refused if no configuration arrives within a fraction of its timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := newHandler(t, 800*time.Millisecond)
			status, duration := serve(h)
			g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(duration).To(Equal(800 * time.Millisecond / startWaitDivisor))
		})
	})
}

func TestBody(t *testing.T) {
	post := func(h *Handler, limit int64, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "http://h.example/a/", strings.NewReader(body))
		e := &exchange{Handler: h, w: recorder, r: request}
		read, err := e.readBody(context.Background(), limit)
		defer read.Release()
		if err != nil {
			e.refuseBody(err)
		}
		return recorder
	}

	t.Run("a body beyond the limit is rejected", func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newHandler(t, time.Second)
		g.Expect(post(h, 4, "four").Code).To(Equal(http.StatusOK))
		g.Expect(post(h, 4, "fives").Code).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(h.options.Memory.Usage()["request_bodies"].Held).To(BeZero())
	})

	t.Run("a proper body is refused as not run while the memory for bodies is used up", func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newHandler(t, time.Second)
		for h.options.Memory.Hold(memory.RequestBodies).Grow(16<<10) == nil {
			continue // Small holdings take all room.
		}
		recorder := post(h, 1000, "a proper body")
		g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(recorder.Header().Get("Retry-After")).NotTo(BeEmpty())
	})
}

func TestARejectionSaysHowOldTheConfigurationIs(t *testing.T) {
	g := NewWithT(t)
	var output bytes.Buffer
	log := logbook.New(&output)
	views, confirmation, empty := view.NewPublisher(), &view.Confirmation{}, &model.Configuration{Version: 7}
	h := New(Options{
		HeaderCodec: fixedCodec{head: port.RequestHead{ID: "r"}}, Views: views, Confirmation: confirmation,
		Log: log, Metrics: &metric.Table{}, Clock: func() time.Duration { return 10 * time.Second },
	})
	views.Publish(&view.View{Configuration: empty, Routes: routing.NewTable(empty), Origin: view.Origin{Source: "peer", At: 4 * time.Second}})
	serve(h)
	confirmation.Confirm(9 * time.Second)
	serve(h)
	log.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines[0]).To(And(ContainSubstring(`"configuration":7,"source":"peer","in_force_for":6`), Not(ContainSubstring("confirmed_ago"))))
	g.Expect(lines[1]).To(ContainSubstring(`"confirmed_ago":1`))
}

func TestAConfigurationThatMayHaveBeenReplacedDeniesNothing(t *testing.T) {
	g := NewWithT(t)
	h, views := newHandler(t, time.Second)
	confirmation, empty := &view.Confirmation{}, &model.Configuration{Version: 7}
	h.options.Confirmation, h.options.ConfigurationTime = confirmation, 2*time.Second
	h.options.Clock = func() time.Duration { return 10 * time.Second }
	views.Publish(&view.View{Configuration: empty, Routes: routing.NewTable(empty)})
	status, _ := serve(h)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), "nobody has said that it is the newest")
	confirmation.Confirm(8*time.Second - time.Millisecond)
	status, _ = serve(h)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), "a newer one may have to be in force")
	confirmation.Confirm(8 * time.Second)
	status, _ = serve(h)
	g.Expect(status).To(Equal(http.StatusNotFound))
}

// readerFunc is a function that implements io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func TestAConfirmationDuringTheBodyIsNotAboutTheEarlierConfiguration(t *testing.T) {
	g := NewWithT(t)
	h, views := newHandler(t, time.Second)
	confirmation := &view.Confirmation{}
	h.options.Confirmation, h.options.ConfigurationTime = confirmation, 2*time.Second
	h.options.Clock = func() time.Duration { return 10 * time.Second }
	publish := func(version uint64, bodyBytes int64, confirmedAt time.Duration) {
		configuration := &model.Configuration{
			Version: version, Limits: model.CallerLimits{BodyBytes: bodyBytes},
			Routes:   []model.Route{{Name: "r", Host: "h.example", PathPrefix: "/a/", Targets: []model.Target{{Service: "s", Weight: 1}}}},
			Services: map[string]model.Service{"s": {Name: "s"}},
		}
		services := map[string]*view.Service{"s": {Service: configuration.Services["s"]}}
		views.Publish(&view.View{Configuration: configuration, Routes: routing.NewTable(configuration), Services: services})
		confirmation.Confirm(confirmedAt)
	}
	post := func(during func()) int {
		body := strings.NewReader("fives")
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://h.example/a/", readerFunc(func(p []byte) (int, error) {
			during()
			return body.Read(p)
		})))
		return recorder.Code
	}
	publish(1, 4, 7*time.Second)
	g.Expect(post(func() { publish(2, 1000, 10*time.Second) })).To(Equal(http.StatusServiceUnavailable), "version 2 permits the body")
	publish(3, 4, 10*time.Second)
	g.Expect(post(func() {})).To(Equal(http.StatusRequestEntityTooLarge))
}
