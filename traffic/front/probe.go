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
	// probeTimeout limits one round of health requests.
	probeTimeout = 500 * time.Millisecond
	// maxReportBytes limits the size of a health report.
	maxReportBytes = 4 << 10
)

// Probe requests health reports from the servers for which this VM queues, in
// services that are not divided by key. A report is only a hint: a server that
// reports itself unhealthy is chosen less often for a while. The daemon calls
// Probe about once a second.
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

// probe requests the report of one server. A missing report changes nothing,
// because failures show in the results of requests.
func (h *Handler) probe(ctx context.Context, m *member) {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: backend.PathHealth},
		Host:   m.declared.Address,
		Header: http.Header{},
	}
	response, failure := m.healthPool.Do(ctx, request, false)
	if failure != nil {
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	var report backend.HealthReport
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(text, &report) != nil {
		return
	}
	m.stats.ReportHealth(h.now(), report.Healthy && !report.Draining)
}

// newHealthPool returns a pool with the single connection for health reports.
func (h *Handler) newHealthPool(address string) *upstream.Pool {
	return upstream.NewPool(upstream.Options{Address: address, MaxConnections: 1, Dial: h.options.Dial})
}
