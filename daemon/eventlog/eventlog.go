// Package eventlog writes numbered events to the log and keeps the most recent
// ones in a ring buffer for the operator interface.
//
// Each event number has its own rate limit, so that an outage does not flood the
// log. The number of omitted lines is written with the next line of that event.
package eventlog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"guavacrank.example/event"
)

const (
	// ringSize is the largest number of events kept for operators.
	ringSize = 4096
	// linesPerSecond and lineBurst bound the log lines of one event number.
	linesPerSecond = 5
	lineBurst      = 20
)

// Entry is one kept event. Cursor increases by one with each event of the process.
type Entry struct {
	Cursor uint64
	Time   time.Time
	Event  event.Event
}

// Log is the event log of one process. It is safe for concurrent use.
type Log struct {
	logger *zap.Logger

	mu       sync.Mutex
	next     uint64
	ring     []Entry
	limiters map[event.Number]*lineLimiter
	counts   map[event.Number]uint64
}

// lineLimiter limits the log lines of one event number and counts the omitted ones.
type lineLimiter struct {
	limiter *rate.Limiter
	omitted int
}

// New returns a log that writes to logger.
func New(logger *zap.Logger) *Log {
	return &Log{
		logger:   logger,
		next:     1,
		limiters: make(map[event.Number]*lineLimiter),
		counts:   make(map[event.Number]uint64),
	}
}

// Add records events and writes them to the log.
func (l *Log) Add(events ...event.Event) {
	for _, e := range events {
		l.add(e)
	}
}

// Since returns kept events with a cursor of at least from, oldest first, at
// most limit of them.
func (l *Log) Since(from uint64, limit int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Entry
	for _, entry := range l.ring {
		if entry.Cursor >= from && len(found) < limit {
			found = append(found, entry)
		}
	}
	return found
}

// Counts returns the number of occurrences of each event since the process started.
func (l *Log) Counts() map[event.Number]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[event.Number]uint64, len(l.counts))
	for number, count := range l.counts {
		counts[number] = count
	}
	return counts
}

func (l *Log) add(e event.Event) {
	omitted, write := l.record(e)
	if !write {
		return
	}
	definition, _ := event.Lookup(e.Number)
	fields := make([]zap.Field, 0, len(e.Fields)+3)
	fields = append(fields, zap.Uint16("event", uint16(e.Number)), zap.String("cause", e.Cause))
	for _, field := range e.Fields {
		fields = append(fields, zap.String(field.Name, field.Value))
	}
	if omitted > 0 {
		fields = append(fields, zap.Int("lines_left_out", omitted))
	}
	l.logger.Log(zapLevel(definition.Level), definition.Name, fields...)
}

// record stores the event. It reports whether to write a log line, and the
// number of lines of the same event that were omitted before.
func (l *Log) record(e event.Event) (omitted int, write bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring = append(l.ring, Entry{Cursor: l.next, Time: now, Event: e})
	l.next++
	if len(l.ring) > ringSize {
		l.ring = append(l.ring[:0:0], l.ring[len(l.ring)-ringSize*3/4:]...)
	}
	l.counts[e.Number]++
	limiter := l.limiters[e.Number]
	if limiter == nil {
		limiter = &lineLimiter{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.limiters[e.Number] = limiter
	}
	if !limiter.limiter.AllowN(now, 1) {
		limiter.omitted++
		return 0, false
	}
	omitted = limiter.omitted
	limiter.omitted = 0
	return omitted, true
}

func zapLevel(level event.Level) zapcore.Level {
	switch level {
	case event.Debug:
		return zapcore.DebugLevel
	case event.Warn:
		return zapcore.WarnLevel
	case event.Error:
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}

// Next returns the cursor that the next event will get.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}
