package upstream

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// limitedMemory is a HeaderMemory with a limit.
type limitedMemory struct {
	limit    int64
	held     *atomic.Int64
	released *atomic.Int64
}

var errNoMemory = errors.New("no memory")

func (m limitedMemory) Grow(bytes int64) error {
	if m.held.Load()+bytes > m.limit {
		return errNoMemory
	}
	m.held.Add(bytes)
	return nil
}

func (m limitedMemory) Release() { m.released.Add(1) }

func TestHeadersAreCountedBeforeTheyAreRead(t *testing.T) {
	const fieldBytes = 20 << 10
	head := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", fieldBytes) + "\r\nContent-Length: 2\r\n\r\nok"
	short := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		text        string
		limit, held int64
		err         error
	}{
		"long ones with room":       {head, 1 << 20, (fieldBytes - bufferBytes) * headerWeight, nil},
		"long ones without room":    {head, 100 << 10, 0, errNoMemory},
		"those that are buffered":   {short, 0, 0, nil},
		"endless ones without room": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", DefaultMaxHeaderBytes), 100 << 10, 0, errNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			memory := limitedMemory{c.limit, new(atomic.Int64), new(atomic.Int64)}
			p := NewPool(Options{Address: scriptedServer(t, c.text), MaxConnections: 1, HeaderMemory: func() HeaderMemory { return memory }})
			defer p.Close()
			response, failure := p.Do(context.Background(), get(), false)
			if c.err != nil {
				g.Expect(failure).NotTo(BeNil())
				g.Expect(failure.Sent).To(BeTrue())
				g.Expect(errors.Is(failure, c.err)).To(BeTrue())
				g.Expect(p.Open()).To(BeZero(), "the connection is closed")
			} else {
				g.Expect(failure).To(BeNil())
				g.Expect(response.Body.Close()).To(Succeed())
			}
			g.Expect(memory.held.Load()).To(BeNumerically(">=", c.held))
			g.Expect(memory.released.Load()).To(BeEquivalentTo(1))
		})
	}
}
