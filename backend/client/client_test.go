package client_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"guavacrank.example/backend"
	"guavacrank.example/backend/client"
	"guavacrank.example/backend/standin"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client")
}

var _ = Describe("Client", func() {
	var (
		ctx    = context.Background()
		server *standin.Server
		caller *client.Client
	)

	BeforeEach(func() {
		running := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(running) }, "5s").Should(Succeed()) })
		server = standin.New(standin.Options{Name: "s1", ChecksGrants: true})
		Expect(server.Start()).To(Succeed())
		DeferCleanup(server.Kill)
		caller = client.New(client.Options{Timeout: 200 * time.Millisecond})
		DeferCleanup(caller.Close)
	})

	received := func(err error) bool {
		GinkgoHelper()
		var failed *client.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		return failed.MayHaveBeenReceived
	}

	It("sends orders and reads reports", func() {
		answer, err := caller.Grant(ctx, server.Address(), backend.GrantOrder{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Result).To(Equal(backend.GrantHello))
		health, err := caller.Health(ctx, server.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(health.Healthy).To(BeTrue())
		load, err := caller.Load(ctx, server.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(load.BusySlots).To(BeZero())
	})

	It("says that a dead server received nothing and a frozen one perhaps", func() {
		server.Freeze()
		_, err := caller.Grant(ctx, server.Address(), backend.GrantOrder{})
		Expect(received(err)).To(BeTrue())
		server.Kill()
		_, err = caller.Grant(ctx, server.Address(), backend.GrantOrder{})
		Expect(received(err)).To(BeFalse())
	})

	It("says that a connection closed without an answer may have received the order", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_ = conn.Close()
			}
		}()
		_, err = caller.Grant(ctx, listener.Addr().String(), backend.GrantOrder{})
		Expect(received(err)).To(BeTrue())
		Expect(listener.Close()).To(Succeed())
	})

	DescribeTable("refuses an answer that is none", func(status int, body string) {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		DeferCleanup(other.Close)
		_, err := caller.Grant(ctx, other.Listener.Addr().String(), backend.GrantOrder{})
		Expect(received(err)).To(BeTrue())
	},
		Entry("not found", http.StatusNotFound, "{}"),
		Entry("no JSON", http.StatusOK, "<html>"),
		Entry("cut short", http.StatusOK, `{"result":"accepted","boot":`),
	)
})
