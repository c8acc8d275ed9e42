// Package logbook writes the gateway's structured log: one JSON line for each
// event of the catalog (package event), to an output that may be slow or blocked.
//
// Logging never blocks: lines pass through a bounded queue. Lines that do not fit
// into the queue or exceed the rate limit are dropped, counted and reported
// later. Frequent events leave a part of the rate limit to rare ones.
package logbook

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"guavacrank.example/event"
)

const (
	// queueCapacity is the number of lines that can be queued for the output.
	queueCapacity = 1024
	// linesPerSecond and lineBurst limit the lines of all events.
	linesPerSecond = 120
	lineBurst      = 400
	// requestReserve is the part of the burst that events about requests leave to
	// all other events. detailReserve is the part that events about single servers,
	// pages and calls leave to the decisions that explain them.
	requestReserve = 150
	detailReserve  = 50
	// batchDelay is how long lines are collected before they are written at once.
	batchDelay = 100 * time.Millisecond
)

// Logger writes the log of one process. It is safe for concurrent use.
type Logger struct {
	encoder   zapcore.Encoder
	output    io.Writer
	queue     chan []byte
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Int64
	written   atomic.Int64

	mu      sync.Mutex
	limiter *rate.Limiter
}

// New returns a logger that writes to output. The fields are part of every line.
func New(output io.Writer, fields ...zap.Field) *Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	for _, field := range fields {
		field.AddTo(encoder)
	}
	l := &Logger{
		encoder: encoder,
		output:  output,
		queue:   make(chan []byte, queueCapacity),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		limiter: rate.NewLimiter(linesPerSecond, lineBurst),
	}
	go l.run()
	return l
}

// reserves holds the part of the burst that an event leaves to others; events
// without an entry leave none.
var reserves = map[event.Number]float64{
	event.RecordIgnored: detailReserve, event.BackendSeen: detailReserve, event.BackendLeaving: detailReserve, event.BackendGone: detailReserve, event.ServerProbed: detailReserve,
	event.KeysPageWritten: detailReserve, event.KeysPageSeen: detailReserve, event.GrantFailed: detailReserve, event.ReleaseEnded: detailReserve,
	event.PeerUnreachable: detailReserve, event.UpdateNotSent: detailReserve,
	event.RequestAnswered: requestReserve, event.RequestNotRun: requestReserve, event.RequestMayHaveRun: requestReserve,
	event.RequestRejected: requestReserve, event.CallerLeft: requestReserve,
}

// Event logs one event of the catalog, if the rate limit allows it.
func (l *Logger) Event(number event.Number, cause string, fields ...zap.Field) {
	now := time.Now()
	if !l.allowed(now, number) {
		l.dropped.Add(1)
		return
	}
	definition, _ := event.Lookup(number)
	fields = append(fields, zap.Uint16("event", uint16(number)))
	if cause != "" {
		fields = append(fields, zap.String("cause", cause))
	}
	line, err := l.encoder.Clone().EncodeEntry(zapcore.Entry{Level: zapLevel(definition.Level), Time: now, Message: definition.Name}, fields)
	if err != nil {
		l.dropped.Add(1) // A field could not be encoded.
		return
	}
	text := append([]byte(nil), line.Bytes()...)
	line.Free()
	select {
	case l.queue <- text:
		l.written.Add(1)
	default:
		l.dropped.Add(1)
	}
}

// allowed reports whether the rate limit allows a line, and counts it if so.
func (l *Logger) allowed(now time.Time, number event.Number) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reserve := reserves[number]; reserve > 0 && l.limiter.TokensAt(now) < reserve {
		return false
	}
	return l.limiter.AllowN(now, 1)
}

// Counts returns the number of lines queued for the output and the number of
// dropped lines so far.
func (l *Logger) Counts() (written, dropped int64) { return l.written.Load(), l.dropped.Load() }

// Close writes the queued lines and stops the logger. It waits for the output no
// longer than the timeout.
func (l *Logger) Close(timeout time.Duration) {
	l.closeOnce.Do(func() { close(l.stop) })
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}

// run writes queued lines to the output in batches.
func (l *Logger) run() {
	defer close(l.done)
	reported := int64(0)
	for {
		select {
		case line := <-l.queue:
			select {
			case <-time.After(batchDelay):
			case <-l.stop:
			}
			l.flush(line)
		case <-l.stop:
			l.flush(nil)
			return
		}
		if dropped := l.dropped.Load(); dropped > reported && l.allowed(time.Now(), event.GatewayLinesDropped) {
			l.Event(event.GatewayLinesDropped, "", zap.Int64("lines", dropped-reported))
			reported = dropped
		}
	}
}

// flush writes a line and all queued lines. If the write fails, the lines are
// lost; a failed write is counted as one dropped line.
func (l *Logger) flush(batch []byte) {
	for {
		select {
		case line := <-l.queue:
			batch = append(batch, line...)
		default:
			if len(batch) > 0 {
				_, err := l.output.Write(batch)
				if err != nil {
					l.dropped.Add(1)
				}
			}
			return
		}
	}
}

func zapLevel(level event.Level) zapcore.Level {
	levels := [...]zapcore.Level{event.Debug: zapcore.DebugLevel, event.Info: zapcore.InfoLevel, event.Warn: zapcore.WarnLevel, event.Error: zapcore.ErrorLevel}
	return levels[level]
}
