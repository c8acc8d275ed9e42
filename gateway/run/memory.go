package run

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/memory"
)

// memoryLogInterval is the time between two log lines about memory that is used up.
const memoryLogInterval = 10 * time.Second

// memoryLog logs refusals of the memory account, which are frequent once they begin. It
// is safe for concurrent use.
type memoryLog struct {
	log   *logbook.Logger
	clock func() time.Duration

	mu       sync.Mutex
	loggedAt time.Duration // Zero means never.
	refused  int64         // Since the last line.
}

func newMemoryLog(shared sharedState) *memoryLog {
	return &memoryLog{log: shared.log, clock: shared.clock}
}

// record records a refusal.
func (m *memoryLog) record(kind memory.Kind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
	now := m.clock()
	if m.loggedAt != 0 && now-m.loggedAt < memoryLogInterval {
		return
	}
	m.log.Event(event.MemoryUsedUp, "", zap.Stringer("kind", kind), zap.Int64("refused", m.refused))
	m.loggedAt, m.refused = now, 0
}
