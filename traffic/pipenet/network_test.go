package pipenet

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestTheVirtualClockAdvancesWhileACallerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var network Network
		l := network.Listen("server")
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			time.Sleep(time.Hour)
			_, _ = conn.Write([]byte("late")) // A failure shows at the caller.
			conn.Close()
		}()
		begin := time.Now()
		conn, err := network.Dial(context.Background(), "tcp", "server")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(conn)).To(BeEquivalentTo("late"))
		g.Expect(time.Since(begin)).To(Equal(time.Hour))
	})
}

func TestAnAddressWithoutListenerRefuses(t *testing.T) {
	g := NewWithT(t)
	var network Network
	_, err := network.Dial(context.Background(), "tcp", "nobody")
	g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	g.Expect(network.Listen("closed").Close()).To(Succeed())
	_, err = network.Dial(context.Background(), "tcp", "closed")
	g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
}

func TestACallerGivesUpWhenItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var network Network
		network.Listen("silent")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := network.Dial(ctx, "tcp", "silent")
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
	})
}
