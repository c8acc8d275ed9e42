package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/elapsed"
	"guavacrank.example/traffic/metric"
)

// fixedDialect reads the same head from every request.
type fixedDialect struct {
	port.Dialect
	head port.RequestHead
}

func (d fixedDialect) ReadRequest(http.Header) (port.RequestHead, error) { return d.head, nil }

// handler returns a handler without a view, for requests with the given time.
func handler(t *testing.T, timeLeft time.Duration) (*Handler, *view.Publisher) {
	book := logbook.New(io.Discard)
	t.Cleanup(func() { book.Close(time.Second) })
	views := view.NewPublisher()
	return New(Options{
		Dialect: fixedDialect{head: port.RequestHead{ID: "r", TimeLeft: timeLeft}},
		Views:   views, Log: book, Metrics: &metric.Table{}, Clock: elapsed.Now, MemoryBytes: 64 << 20,
	}), views
}

// ask serves one request and returns its status and how long it took.
func ask(h *Handler) (status int, took time.Duration) {
	began := time.Now()
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "http://h.example/a/", nil))
	return answer.Code, time.Since(began)
}

func TestStarting(t *testing.T) {
	t.Run("a request waits a little for the first configuration", func(t *testing.T) {
		g := NewWithT(t)
		h, views := handler(t, 4*time.Second)
		time.AfterFunc(100*time.Millisecond, func() {
			empty := &model.Configuration{}
			views.Publish(&view.View{Configuration: empty, Routes: routing.NewTable(empty)})
		})
		status, _ := ask(h)
		g.Expect(status).To(Equal(http.StatusNotFound), "the configuration has no route")
	})

	t.Run("a request is refused after a small part of its time", func(t *testing.T) {
		g := NewWithT(t)
		h, _ := handler(t, 800*time.Millisecond)
		status, took := ask(h)
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(took).To(BeNumerically("<", 400*time.Millisecond))
	})
}
