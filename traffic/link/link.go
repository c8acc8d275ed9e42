// Package link limits the rate of bulk traffic over the link between regions
// and counts the bytes of every priority on it.
//
// Pacer.Wait is called before bytes are sent and blocks until the rate allows
// them. Only bulk traffic is limited.
package link

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"

	"guavacrank.example/config"
)

// Burst is the number of bytes of bulk traffic that may be sent at once: about a
// millisecond of the link, so that an interactive response waits little behind it.
const Burst = 4 << 10

// Pacer is one VM's share of the link in one direction. It is safe for
// concurrent use.
type Pacer struct {
	limiter *rate.Limiter
	bytes   [int(config.Bulk) + 1]atomic.Int64
}

// NewPacer returns a pacer that does not limit.
func NewPacer() *Pacer { return &Pacer{limiter: rate.NewLimiter(rate.Inf, Burst)} }

// SetRate sets the bytes of bulk traffic per second; zero means no limit.
func (p *Pacer) SetRate(bytes int64) {
	limit := rate.Limit(bytes)
	if bytes <= 0 {
		limit = rate.Inf
	}
	if p.limiter.Limit() != limit {
		p.limiter.SetLimit(limit)
	}
}

// Wait counts bytes that are about to cross the link and delays bulk traffic to
// its rate. It fails if the context ends first.
func (p *Pacer) Wait(ctx context.Context, priority config.Priority, count int) error {
	p.bytes[priority].Add(int64(count))
	if priority != config.Bulk {
		return nil
	}
	for count > 0 {
		part := min(count, Burst)
		if err := p.limiter.WaitN(ctx, part); err != nil {
			return err
		}
		count -= part
	}
	return nil
}

// Bytes returns the bytes counted so far, by priority.
func (p *Pacer) Bytes() map[string]int64 {
	return map[string]int64{
		"interactive": p.bytes[config.Interactive].Load(),
		"patient":     p.bytes[config.Patient].Load(),
		"bulk":        p.bytes[config.Bulk].Load(),
	}
}
