package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// targetRequest returns a request with the target and a body.
func targetRequest(target, body string) *http.Request {
	return &http.Request{
		Method: http.MethodPut, URL: &url.URL{Opaque: target}, Host: "h", Header: http.Header{"User-Agent": nil},
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
}

func TestATargetIsWrittenAsItIs(t *testing.T) {
	body := strings.Repeat("://body", 10_000)
	for _, target := range []string{"/a", "//", "//:", "//é%2F?", "///a", "//" + strings.Repeat("é", bufferBytes)} {
		g := NewWithT(t)
		var out bytes.Buffer
		g.Expect(writeRequest(&out, targetRequest(target, body))).To(Succeed())
		g.Expect(out.String()).To(Equal("PUT " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + body))
	}
}

func TestATargetWithAControlCharacterIsNotWritten(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(writeRequest(&out, targetRequest("//a\r\nx: y", ""))).NotTo(Succeed())
	g.Expect(out.Len()).To(BeZero())
}

func TestTheColonIsRemovedFromPiecesOfAnySize(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	_, err := io.Copy(&colonRemover{writer: &out, before: 4}, struct{ io.Reader }{iotest.OneByteReader(strings.NewReader("PUT ://a:b"))})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal("PUT //a:b"))
}
