package fleet

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowDeadline is a response writer whose SetReadDeadline blocks until release
// is closed.
type slowDeadline struct {
	*httptest.ResponseRecorder
	entered, release chan struct{}
}

func (s *slowDeadline) SetReadDeadline(time.Time) error {
	close(s.entered)
	<-s.release
	return nil
}

var _ = Describe("serveUntilDone", func() {
	// net/http panics if a response is used after its handler has returned.
	// This happened in the demo with slow@1s-8s,server@2s,vm@4s: the goroutine
	// that sets the read deadline on shutdown outlived the handler.
	It("returns only after the last use of the response", func() {
		target := &server{manager: &Manager{done: make(chan struct{})}}
		response := &slowDeadline{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
		returned := make(chan struct{})
		go func() {
			defer close(returned)
			request := httptest.NewRequest(http.MethodPost, "/", nil)
			target.serveUntilDone(response, request, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				<-response.entered
			}))
		}()
		close(target.manager.done)
		Eventually(response.entered).Should(BeClosed())
		Consistently(returned, "50ms").ShouldNot(BeClosed())
		close(response.release)
		Eventually(returned).Should(BeClosed())
	})
})
