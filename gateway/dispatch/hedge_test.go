package dispatch_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/balance"
)

func TestAHedgedRequestDoesNotGoToAServerThatIsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		started := make(chan string, 2)
		handler := func(id string) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				started <- id
				select {
				case <-r.Context().Done():
				case <-time.After(600 * time.Millisecond): // Beyond the delay of a hedged request.
				}
				w.Header().Set("Proof", "1")
			}
		}
		f.add("a", handler("a"))
		f.add("b", handler("b"))
		go func() {
			first := <-started
			started <- first
			f.service.Servers = []*balance.Server{f.service.Servers[map[string]int{"a": 0, "b": 1}[first]]}
			f.publish() // The other server is leaving.
		}()
		f.do(2 * time.Second)
		<-started
		f.Expect(started).To(BeEmpty())
	})
}
