package httpstore_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/httpstore"
	"guavacrank.example/kvstore/memstore"
)

func TestHTTPStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpstore")
}

// historyGone is a store that no longer keeps the changes that a watch asks for.
type historyGone struct{ kvstore.Store }

// Watch implements kvstore.Store.
func (historyGone) Watch(context.Context, string, kvstore.Version, time.Duration) ([]kvstore.Entry, error) {
	return nil, &kvstore.Error{Op: "watch", Kind: kvstore.KindHistoryGone}
}

var _ = Describe("Client", func() {
	var (
		ctx    context.Context
		store  *memstore.Store
		server *httptest.Server
		client *httpstore.Client
	)

	connect := func(server *httptest.Server, timeout time.Duration) *httpstore.Client {
		address := strings.TrimPrefix(server.URL, "http://")
		client := httpstore.NewClient(httpstore.ClientOptions{Address: address, Timeout: timeout})
		DeferCleanup(client.Close)
		return client
	}

	BeforeEach(func() {
		running := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(running) }, "5s").Should(Succeed()) })
		ctx = context.Background()
		store = memstore.New(memstore.Options{})
		server = httptest.NewServer(httpstore.NewFaultHandler(store))
		DeferCleanup(server.Close)
		client = connect(server, 5*time.Second)
	})

	It("transmits every call and its errors", func() {
		lease, err := client.GrantLease(ctx, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		version, err := client.CompareAndSwap(ctx, "role/a", 0, []byte{0, 255}, lease)
		Expect(err).NotTo(HaveOccurred())
		entry, err := client.Get(ctx, "role/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry).To(Equal(kvstore.Entry{Key: "role/a", Value: []byte{0, 255}, Version: version, Lease: lease}))
		_, err = client.CompareAndSwap(ctx, "role/a", 0, nil, 0)
		Expect(kvstore.IsKind(err, kvstore.KindConflict)).To(BeTrue())
		Expect(err.(*kvstore.Error).Current).To(Equal(version))
		Expect(client.KeepAlive(ctx, lease)).To(Succeed())
		Expect(client.Revoke(ctx, lease)).To(Succeed())
		changed, err := client.Watch(ctx, "role/", version, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(HaveLen(1))
		Expect(changed[0].Deleted).To(BeTrue())
		_, err = client.Get(ctx, "role/a")
		Expect(kvstore.IsKind(err, kvstore.KindNotFound)).To(BeTrue())
		large, err := client.CompareAndSwap(ctx, "large", 0, make([]byte, kvstore.MaxValueBytes), 0)
		Expect(err).NotTo(HaveOccurred())
		entries, err := client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
		Expect(client.Delete(ctx, "large", large)).To(Succeed())
		store.SetVMs([]kvstore.VM{{Name: "vm1", Region: "flanders"}})
		vms, err := client.VMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(HaveLen(1))
	})

	It("reports a lost reply as an unknown outcome and an outage as not applied", func() {
		store.SetFaults(memstore.Faults{LostReplies: memstore.LostCalls{Count: 1}})
		_, err := client.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
		Expect(kvstore.IsUnknown(err)).To(BeTrue())
		_, err = client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		store.SetFaults(memstore.Faults{Outage: true})
		_, err = client.CompareAndSwap(ctx, "l", 0, nil, 0)
		Expect(kvstore.IsKind(err, kvstore.KindUnavailable)).To(BeTrue())
		Expect(kvstore.IsUnknown(err)).To(BeFalse())
	})

	It("reports a timed-out write as an unknown outcome", func() {
		store.SetFaults(memstore.Faults{ReplyDelay: time.Minute})
		shortTimeout := connect(server, 20*time.Millisecond)
		_, err := shortTimeout.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
		Expect(kvstore.IsUnknown(err)).To(BeTrue())
		store.SetFaults(memstore.Faults{})
		_, err = client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
	})

	It("transmits that the history for a watch is gone", func() {
		gone := historyGone{Store: store}
		other := httptest.NewServer(httpstore.NewHandler(gone))
		DeferCleanup(other.Close)
		_, err := connect(other, 5*time.Second).Watch(ctx, "role/", 1, time.Minute)
		Expect(kvstore.IsKind(err, kvstore.KindHistoryGone)).To(BeTrue(), "%v", err)
	})

	It("reports a refused connection as not applied", func() {
		server.Close()
		_, err := client.CompareAndSwap(ctx, "k", 0, nil, 0)
		Expect(kvstore.IsKind(err, kvstore.KindUnavailable)).To(BeTrue())
		Expect(kvstore.IsUnknown(err)).To(BeFalse())
	})

	DescribeTable("treats a response that is not from the service as an unknown outcome", func(status int, body string) {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		DeferCleanup(other.Close)
		_, err := connect(other, time.Second).CompareAndSwap(ctx, "k", 0, nil, 0)
		Expect(kvstore.IsUnknown(err)).To(BeTrue())
	},
		Entry("an HTML page of a proxy", http.StatusServiceUnavailable, "<html>"),
		Entry("an empty object", http.StatusServiceUnavailable, "{}"),
		Entry("a status that does not match the failure", http.StatusBadGateway, `{"failure":"unavailable"}`),
		Entry("a truncated success response", http.StatusOK, `{"version":`),
	)

	It("serves the fault injection interface", func() {
		send := func(method, path, body string) int {
			request, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			response, err := server.Client().Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode
		}
		Expect(send("PUT", httpstore.PathFaults, `{"outage":true}`)).To(Equal(http.StatusNoContent))
		Expect(store.Faults().Outage).To(BeTrue())
		Expect(send("PUT", httpstore.PathFaults, `{"outtage":true}`)).To(Equal(http.StatusBadRequest))
		Expect(send("PUT", httpstore.PathFaults, `{}`)).To(Equal(http.StatusNoContent))
		Expect(send("PUT", httpstore.PathVMs, `[{"name":"vm1"}]`)).To(Equal(http.StatusNoContent))
		Expect(send("POST", httpstore.PathLapse, `{"key":"none"}`)).To(Equal(http.StatusNotFound))
		Expect(send("GET", httpstore.PathCounts, "")).To(Equal(http.StatusOK))
	})
})

// FuzzHandler sends arbitrary bodies to every path: each response has status 200
// or reports a failure.
func FuzzHandler(f *testing.F) {
	paths := []string{
		"/store/v1/get", "/store/v1/list", "/store/v1/compare-and-swap", "/store/v1/delete", "/store/v1/watch",
		"/store/v1/grant-lease", "/store/v1/keep-alive", "/store/v1/revoke", "/store/v1/vms",
	}
	f.Add(uint8(0), []byte(`{"key":"a"}`))
	f.Add(uint8(2), []byte(`{"key":"a","expected":0,"value":"AAA="}`))
	f.Add(uint8(4), []byte(`{"prefix":"a","after":18446744073709551615,"wait_ms":-1}`))
	f.Add(uint8(5), []byte(`{"ttl_ms":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond) // Ends a watch that waits.
		defer cancel()
		handler := httpstore.NewHandler(memstore.New(memstore.Options{}))
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK && !bytes.Contains(recorder.Body.Bytes(), []byte(`"failure"`)) {
			t.Fatalf("status %d without a failure: %s", recorder.Code, recorder.Body)
		}
	})
}
