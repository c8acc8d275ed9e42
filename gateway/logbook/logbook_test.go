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

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestLogger(t *testing.T) {
	t.Run("writes one JSON line for each event", func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		logger := logbook.New(&output, zap.String("vm", "a"))
		logger.Event(event.GatewayReady, "", zap.Int("servers", 3))
		logger.Event(event.RequestNotRun, "why", zap.String("request", "r1"))
		logger.Close(time.Second)
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		g.Expect(lines).To(HaveLen(2))
		g.Expect(lines[0]).To(And(ContainSubstring(`"msg":"gateway-ready"`), ContainSubstring(`"event":701`), ContainSubstring(`"vm":"a"`)))
		g.Expect(lines[1]).To(And(ContainSubstring(`"cause":"why"`), ContainSubstring(`"level":"warn"`)))
	})

	t.Run("never blocks on a blocked output, and counts dropped lines", func(t *testing.T) {
		g := NewWithT(t)
		output := blockedWriter{make(chan struct{})}
		logger := logbook.New(output)
		start := time.Now()
		for range 20000 {
			logger.Event(event.BackendSeen, "", zap.String("server", "i"))
		}
		g.Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		written, dropped := logger.Counts()
		g.Expect(written + dropped).To(Equal(int64(20000)))
		g.Expect(dropped).To(BeNumerically(">", 10000))
		logger.Close(10 * time.Millisecond)
		close(output.release)
	})

	t.Run("keeps a reserve for rare events while many requests are logged", func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		logger := logbook.New(&output)
		for range 5000 {
			logger.Event(event.RequestNotRun, "")
		}
		logger.Event(event.LeadershipLost, "it matters")
		logger.Close(time.Second)
		g.Expect(output.String()).To(ContainSubstring("it matters"))
	})

	t.Run("keeps a reserve for decisions while many server events are logged", func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		logger := logbook.New(&output)
		for range 5000 {
			logger.Event(event.BackendSeen, "")
			logger.Event(event.GrantFailed, "")
		}
		logger.Event(event.PredecessorStopped, "it matters")
		logger.Close(time.Second)
		g.Expect(output.String()).To(ContainSubstring("it matters"))
	})
}
