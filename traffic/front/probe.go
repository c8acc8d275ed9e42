package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/traffic/upstream"
)

const (
	// probeTimeout bounds one question for a server's health.
	probeTimeout = 500 * time.Millisecond
	// maxReportBytes limits a health report.
	maxReportBytes = 4 << 10
)

// Probe asks the servers for which this VM queues, in services not divided by
// key, for their own word on their health. It is a hint only: a server that
// calls itself unwell is preferred less for a while. The daemon calls it about
// once a second.
func (h *Handler) Probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	v := h.current()
	var group sync.WaitGroup
	for _, s := range v.services {
		for _, g := range s.groups {
			if g.home != v.snapshot.Self {
				continue
			}
			for _, m := range g.members {
				group.Go(func() { h.probe(ctx, m) })
			}
		}
	}
	group.Wait()
}

// probe asks one server. No answer is no hint: failures show in the requests.
func (h *Handler) probe(ctx context.Context, m *member) {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: backend.PathHealth},
		Host:   m.declared.Address,
		Header: http.Header{},
	}
	answer, failure := m.reports.Do(ctx, request, false)
	if failure != nil {
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	var report backend.HealthReport
	if err != nil || answer.StatusCode != http.StatusOK || json.Unmarshal(text, &report) != nil {
		return
	}
	m.seen.ReportHealth(h.now(), report.Healthy && !report.Draining)
}

// newReports returns the pool of one connection over which a server is asked.
func newReports(address string) *upstream.Pool {
	return upstream.NewPool(upstream.Options{Address: address, MaxConnections: 1})
}
