package linger

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// pipe is a stream on a virtual clock. Its caller does not notice the end of writing.
type pipe struct{ net.Conn }

// CloseWrite implements stream.
func (pipe) CloseWrite() error { return nil }

// ReadFrom implements io.ReaderFrom.
func (p pipe) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{p.Conn}, r)
}

// onPipe calls a test on a virtual clock with a connection that lingers behind a response.
func onPipe(t *testing.T, test func(*GomegaWithT, *Connections, net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		caller, accepted := net.Pipe()
		defer caller.Close()
		connections := NewConnections(nil)
		conn := connections.add(pipe{accepted})
		go conn.Write([]byte("response")) // Ends with the read.
		_, err := io.ReadFull(caller, make([]byte, len("response")))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		g.Expect(conn.Close()).To(Succeed())
		test(g, connections, caller)
	})
}

func TestLingeringEndsWhenTheCallerIsQuiet(t *testing.T) {
	onPipe(t, func(g *GomegaWithT, connections *Connections, _ net.Conn) {
		time.Sleep(quietTime - time.Millisecond)
		synctest.Wait()
		g.Expect(connections.Counts()).To(Equal(Counts{Open: 1, Lingering: 1}))
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		g.Expect(connections.Counts()).To(BeZero())
	})
}

func TestLingeringEndsAtItsLimitIfTheCallerSendsOn(t *testing.T) {
	onPipe(t, func(g *GomegaWithT, connections *Connections, caller net.Conn) {
		begun := time.Now()
		for {
			time.Sleep(quietTime / 2)
			if _, err := caller.Write([]byte("more")); err != nil {
				break
			}
		}
		g.Expect(time.Since(begun)).To(BeNumerically("~", maxTime, quietTime/2))
		g.Expect(connections.Counts()).To(BeZero())
	})
}

func TestLingeringEndsWithTheCaller(t *testing.T) {
	onPipe(t, func(g *GomegaWithT, connections *Connections, caller net.Conn) {
		g.Expect(caller.Close()).To(Succeed())
		synctest.Wait()
		g.Expect(connections.Counts()).To(BeZero())
	})
}

// A stop waits for callers that send on, and a moment for those that don't.
func TestAConnectionThatLingersIsUnfinishedUntilItsCallerIsQuiet(t *testing.T) {
	onPipe(t, func(g *GomegaWithT, connections *Connections, caller net.Conn) {
		for range 4 {
			time.Sleep(settleTime - time.Millisecond)
			g.Expect(connections.Unfinished()).To(Equal(1))
			_, err := caller.Write([]byte("more"))
			g.Expect(err).NotTo(HaveOccurred())
			synctest.Wait()
		}
		time.Sleep(settleTime)
		g.Expect(connections.Unfinished()).To(BeZero())
		g.Expect(connections.Counts()).To(Equal(Counts{Open: 1, Lingering: 1}))
		connections.Abandon()
		g.Expect(connections.Counts()).To(BeZero())
	})
}
