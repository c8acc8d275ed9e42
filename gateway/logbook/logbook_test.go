package logbook_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/logbook"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBook(t *testing.T) {
	t.Run("writes one line of JSON for each event", func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		book := logbook.New(&output, zap.String("vm", "a"))
		book.Event(event.GatewayReady, "", zap.Int("servers", 3))
		book.Event(event.RequestNotRun, "why", zap.String("request", "r1"))
		book.Close(time.Second)
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		g.Expect(lines).To(HaveLen(2))
		g.Expect(lines[0]).To(And(ContainSubstring(`"msg":"gateway-ready"`), ContainSubstring(`"event":701`), ContainSubstring(`"vm":"a"`)))
		g.Expect(lines[1]).To(And(ContainSubstring(`"cause":"why"`), ContainSubstring(`"level":"warn"`)))
	})

	t.Run("never waits for an output that is stuck, and counts what it left out", func(t *testing.T) {
		g := NewWithT(t)
		output := stuck{make(chan struct{})}
		book := logbook.New(output)
		began := time.Now()
		for range 20000 {
			book.Event(event.BackendSeen, "", zap.String("server", "i"))
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
		written, leftOut := book.Counts()
		g.Expect(written + leftOut).To(Equal(int64(20000)))
		g.Expect(leftOut).To(BeNumerically(">", 10000))
		book.Close(10 * time.Millisecond)
		close(output.release)
	})

	t.Run("leaves room for rare lines when requests press", func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		book := logbook.New(&output)
		for range 5000 {
			book.Event(event.RequestNotRun, "")
		}
		book.Event(event.LeadershipLost, "it matters")
		book.Close(time.Second)
		g.Expect(output.String()).To(ContainSubstring("it matters"))
	})

	t.Run("leaves room for decisions when the lists of servers press", func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		book := logbook.New(&output)
		for range 5000 {
			book.Event(event.BackendSeen, "")
			book.Event(event.GrantFailed, "")
		}
		book.Event(event.PredecessorStopped, "it matters")
		book.Close(time.Second)
		g.Expect(output.String()).To(ContainSubstring("it matters"))
	})
}
