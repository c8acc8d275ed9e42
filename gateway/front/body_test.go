package front

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
)

func TestABodyThatDoesNotComeEndsWithTheRequestsDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		timeLeft, interrupt time.Duration
		code                string
	}{
		"its deadline passes": {timeLeft: 300 * time.Millisecond, interrupt: time.Minute, code: "timeout"},
		"the process ends":    {timeLeft: time.Minute, interrupt: 300 * time.Millisecond, code: "stopping"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, views := newHandler(t, c.timeLeft)
			configuration := &model.Configuration{
				Routes:   []model.Route{{Name: "r", Host: "h.example", PathPrefix: "/a/", Targets: []model.Target{{Service: "s", Weight: 1}}}},
				Services: map[string]model.Service{"s": {Name: "s"}},
			}
			services := map[string]*view.Service{"s": {Service: configuration.Services["s"]}}
			views.Publish(&view.View{Configuration: configuration, Routes: routing.NewTable(configuration), Services: services})
			server := httptest.NewServer(h)
			defer server.Close()
			conn, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			time.AfterFunc(c.interrupt, h.options.Gate.Interrupt)
			g.Expect(conn.SetDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
			_, err = io.WriteString(conn, "POST /a/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nhalf")
			g.Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(conn)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(text)).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring("Connection: close\r\n"), ContainSubstring(c.code)))
			g.Expect(h.options.Memory.Usage()["request_bodies"].Held).To(BeZero())
		})
	}
}
