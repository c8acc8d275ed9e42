package run

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/peer"
)

func TestSmallMessageThatDecompressesToAHugeOneIsRefused(t *testing.T) {
	g := NewWithT(t)
	bomb := compress(make([]byte, 4*maxRecordBytes))
	g.Expect(len(bomb)).To(BeNumerically("<", 1<<20))
	_, err := decompress(bomb)
	g.Expect(err).To(MatchError(errRecordTooLarge))
	for _, cut := range []int{0, 1, 10, len(bomb) / 2} {
		_, err = decompress(bomb[:cut])
		g.Expect(err).To(HaveOccurred())
	}
}

func TestMalformedPeerMessagesGetAnErrorAndLeaveTheHandlerServing(t *testing.T) {
	g := NewWithT(t)
	recorder := recordingPeer{make(chan *peer.SpreadRequest, 10), make(chan *peer.Report, 10)}
	server := httptest.NewServer(peer.NewHandler(recorder, nil))
	defer server.Close()
	post := func(encoding string, body []byte) int {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/guavacrank.peer.v1.Peer/Report", bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", "application/json")
		if encoding != "" {
			request.Header.Set("Content-Encoding", encoding)
		}
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		return response.StatusCode
	}
	nested := strings.Repeat(`{"x":`, 100_000) + "1" + strings.Repeat("}", 100_000)
	g.Expect(post("", []byte(nested))).NotTo(Equal(http.StatusOK))
	g.Expect(post("", []byte(`{"capacity":`))).NotTo(Equal(http.StatusOK))
	g.Expect(post("", []byte(`{"configuration":1e400}`))).NotTo(Equal(http.StatusOK))
	g.Expect(post("gzip", compress([]byte(`{"vm":"`+strings.Repeat(" ", 20<<20)+`"}`)))).NotTo(Equal(http.StatusOK))
	g.Expect(post("gzip", []byte("no gzip"))).NotTo(Equal(http.StatusOK))
	g.Expect(recorder.queries).To(BeEmpty())
	_, err := peer.NewClient().Report(context.Background(), server.Listener.Addr().String(), &peer.Report{VM: "a"})
	g.Expect(err).NotTo(HaveOccurred())
}
