package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/once"
	"guavacrank.example/traffic/once/oncetest"
	"guavacrank.example/traffic/route"
)

var _ = Describe("a non-idempotent request with an idempotency key", func() {
	var store *oncetest.Store

	// pair starts two VMs with a shared store. Each sends directly to the
	// server.
	pair := func(handle func(net.Conn, *http.Request)) (*fakeServer, *vm, *vm) {
		store = oncetest.NewStore()
		server := newFakeServer(handle)
		f := &fleet{vms: map[string]*vm{}}
		for _, name := range []string{"a", "b"} {
			f.vms[name] = newVM(Options{IdempotencyRecords: once.New(once.Options{Store: store, VM: name})})
		}
		f.publish(func() *route.Service { return dividedByKey(testServer(server, ""), 7) })
		return server, f.vms["a"], f.vms["b"]
	}
	key := []string{HeaderIdempotencyKey, "k1"}

	It("is answered from the record when retried through another VM", func() {
		server, a, b := pair(respond("HTTP/1.1 201 Created\r\nContent-Type: text/x\r\nContent-Length: 2\r\n\r\nok"))
		Expect(a.order(key...).status).To(Equal(201))
		Expect(a.options.IdempotencyRecords.Wait(context.Background())).To(Succeed())
		got := b.order(key...)
		Expect([]any{got.status, got.verdict, got.code, got.body}).To(Equal([]any{201, "answered", "once_finished", "ok"}))
		Expect(got.header.Get("Content-Type")).To(Equal("text/x"))
		Expect(got.header.Get(HeaderRecordedStatus)).To(Equal("201"))
		Expect(server.received()).To(HaveLen(1))
	})

	It("gets the recorded status when the response was too large to record", func() {
		body := strings.Repeat("x", once.MaxBodyBytes+1)
		server, a, b := pair(respond("HTTP/1.1 200 OK\r\nContent-Length: 4097\r\n\r\n" + body))
		Expect(a.order(key...).body).To(Equal(body))
		Expect(a.options.IdempotencyRecords.Wait(context.Background())).To(Succeed())
		got := b.order(key...)
		Expect([]any{got.status, got.verdict, got.code, got.header.Get(HeaderRecordedStatus)}).To(Equal([]any{409, "answered", "once_finished", "200"}))
		Expect(server.received()).To(HaveLen(1))
	})

	It("does not run again while the first attempt is in flight", func() {
		release := make(chan struct{})
		server, a, b := pair(func(conn net.Conn, r *http.Request) { <-release; io.WriteString(conn, okAnswer) })
		replies := make(chan reply, 1)
		go func() { defer GinkgoRecover(); replies <- a.order(key...) }()
		Eventually(func() int { return len(server.received()) }).Should(Equal(1))
		got := b.order(key...)
		Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{409, "may_have_run", "once_running"}))
		close(release)
		Expect((<-replies).verdict).To(Equal("answered"))
		Expect(server.received()).To(HaveLen(1))
	})

	It("does not run again after an attempt that may have run, such as at a server that does not respond", func() {
		server, a, b := pair(hang)
		Expect(a.order(append(key, HeaderDeadline, "100")...).verdict).To(Equal("may_have_run"))
		Expect(a.options.IdempotencyRecords.Wait(context.Background())).To(Succeed())
		got := b.order(key...)
		Expect([]any{got.verdict, got.code}).To(Equal([]any{"may_have_run", "once_unknown"}))
		Expect(server.received()).To(HaveLen(1))
	})

	It("may run if the first attempt provably did not run", func() {
		server, a, b := pair(respond(okAnswer))
		server.close()
		Expect(a.order(append(key, HeaderDeadline, "100")...).verdict).To(Equal("not_run"))
		revived := newFakeServer(respond(okAnswer))
		for _, v := range []*vm{a, b} {
			v.routes.Publish(&route.Snapshot{Services: map[string]*route.Service{"cards": dividedByKey(testServer(revived, ""), 8)}})
		}
		Expect(b.order(key...).verdict).To(Equal("answered"))
	})

	It("is refused with not_run while the store is down", func() {
		server, a, _ := pair(respond(okAnswer))
		store.SetDown(true)
		got := a.order(key...)
		Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{503, "not_run", "store"}))
		Expect(server.received()).To(BeEmpty())
	})

	It("is refused when the key belongs to another request", func() {
		server, a, b := pair(respond(okAnswer))
		a.order(key...)
		got := b.send("POST", "/v1/cards/k", "another body", append(key, HeaderClass, "order")...)
		Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{422, "not_run", "once_different"}))
		Expect(server.received()).To(HaveLen(1))
	})

	It("runs once when it is sent many times concurrently", func() {
		server, a, b := pair(respond(okAnswer))
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				defer GinkgoRecover()
				got := []*vm{a, b}[i%2].order(key...)
				Expect(got.verdict).NotTo(Equal("not_run"))
			})
		}
		group.Wait()
		Expect(server.received()).To(HaveLen(1))
	})
})
