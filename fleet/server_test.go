package fleet

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowDeadline is a response whose SetReadDeadline waits until release.
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
	// A response must not be touched once its handler has returned: net/http
	// panics then (seen in the demo with slow@1s-8s,server@2s,vm@4s).
	It("returns only once nothing uses the response any more", func() {
		served := &server{manager: &Manager{done: make(chan struct{})}}
		response := &slowDeadline{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
		returned := make(chan struct{})
		go func() {
			defer close(returned)
			request := httptest.NewRequest(http.MethodPost, "/", nil)
			served.serveUntilDone(response, request, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				<-response.entered
			}))
		}()
		close(served.manager.done)
		Eventually(response.entered).Should(BeClosed())
		Consistently(returned, "50ms").ShouldNot(BeClosed())
		close(response.release)
		Eventually(returned).Should(BeClosed())
	})
})
