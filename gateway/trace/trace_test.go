package trace_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/trace"
)

const logs = `  1.2 edge-a {"ts":"2026-01-01T00:00:09.0Z","msg":"release-ended","vm":"edge-l","service":"s","server":"i-1","from":0,"to":50,"event":726}
{"ts":"2026-01-01T00:00:09.5Z","msg":"release-ended","vm":"edge-l","service":"s","server":"i-9","from":60,"to":90,"event":726}
no line of JSON
{"ts":"2026-01-01T00:00:02Z","msg":"leadership-won","vm":"edge-a","event":720}
{"ts":"2026-01-01T00:00:09.7Z","msg":"gateway-store-lost","vm":"edge-a","event":712,"cause":"down"}
{"ts":"2026-01-01T00:00:10Z","msg":"request-not-run","vm":"edge-a","request":"r1","service":"s","key":7,"code":"no_owner","event":731}
{"ts":"2026-01-01T00:00:09.9Z","msg":"request-may-have-run","vm":"edge-b","request":"r1","service":"s","key":7,"send_1":"i-2 in z after 3ms","event":732}
{"ts":"2026-01-01T00:00:11Z","msg":"backend-gone","vm":"edge-a","server":"i-2","event":716}
`

func TestFind(t *testing.T) {
	g := NewWithT(t)
	lines, err := trace.Read(strings.NewReader(logs))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(7))
	found, err := trace.Find(lines, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found.Lines).To(HaveLen(2))
	g.Expect(found.Outcome.Name).To(Equal("request-not-run"))
	var related []string
	for _, line := range found.Related {
		related = append(related, line.Name)
	}
	g.Expect(related).To(Equal([]string{"release-ended", "gateway-store-lost"}), "events of the request's key and VM, shortly before its end")
	_, err = trace.Find(lines, "r2")
	g.Expect(err).To(MatchError(trace.ErrNotFound))
}

const availabilityLogs = `{"ts":"2026-01-01T00:00:08Z","msg":"backend-backoff-begun","vm":"edge-a","server":"i-3","left":2.5,"event":752}
{"ts":"2026-01-01T00:00:08.5Z","msg":"backend-backoff-begun","vm":"edge-a","server":"i-4","left":2.5,"event":752}
{"ts":"2026-01-01T00:00:09Z","msg":"keys-granted","vm":"edge-l","service":"s","server":"i-5","from":0,"to":9,"event":744}
{"ts":"2026-01-01T00:00:09.5Z","msg":"request-not-run","vm":"edge-a","request":"r2","service":"s","key":7,"code":"server_backoff","event":731}
{"ts":"2026-01-01T00:00:10Z","msg":"request-not-run","vm":"edge-a","request":"r1","service":"s","key":7,"code":"server_backoff","avoided":"i-3 backoff","event":731}
`

func TestFindShowsWhatServersSaidAndGrants(t *testing.T) {
	g := NewWithT(t)
	lines, err := trace.Read(strings.NewReader(availabilityLogs))
	g.Expect(err).NotTo(HaveOccurred())
	found, err := trace.Find(lines, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	var related []string
	for _, line := range found.Related {
		related = append(related, line.Name+" "+line.Text[strings.Index(line.Text, "i-"):][:3])
	}
	g.Expect(related).To(Equal([]string{"backend-backoff-begun i-3", "keys-granted i-5"}), "not of other servers, nor other requests")
}
