// Package logbook writes the gateway's structured log: one JSON line for each
// event of the catalogue, to an output that may be slow or stuck.
//
// Writing never waits: lines go through a bounded queue, and what does not fit
// there or exceeds the rate is counted and said later. Ordinary lines leave a
// part of the rate to the rare ones.
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
	// queueLines is the number of lines that wait for the output.
	queueLines = 1024
	// linesPerSecond and lineBurst bound the lines of all events.
	linesPerSecond = 120
	lineBurst      = 400
	// rareBurst is what lines about requests leave for all others, vitalBurst what
	// lines about single servers, pages and calls leave for the decisions that
	// explain them.
	rareBurst  = 150
	vitalBurst = 50
	// gatherTime is how long lines are gathered for one write.
	gatherTime = 100 * time.Millisecond
)

// Logger is the log of one process. It is safe for concurrent use.
type Logger struct {
	encoder zapcore.Encoder
	output  io.Writer
	queue   chan []byte
	stop    chan struct{}
	done    chan struct{}
	end     sync.Once
	leftOut atomic.Int64
	total   atomic.Int64

	mu      sync.Mutex
	limiter *rate.Limiter
}

// New returns a book that writes to output. Fields are part of every line.
func New(output io.Writer, fields ...zap.Field) *Logger {
	settings := zap.NewProductionEncoderConfig()
	settings.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(settings)
	for _, field := range fields {
		field.AddTo(encoder)
	}
	b := &Logger{
		encoder: encoder,
		output:  output,
		queue:   make(chan []byte, queueLines),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		limiter: rate.NewLimiter(linesPerSecond, lineBurst),
	}
	go b.write()
	return b
}

// reserves are the lines that an event leaves for others; zero if none.
var reserves = map[event.Number]float64{
	event.BackendSeen: vitalBurst, event.BackendLeaving: vitalBurst, event.BackendGone: vitalBurst, event.ServerProbed: vitalBurst,
	event.KeysPageWritten: vitalBurst, event.KeysPageSeen: vitalBurst, event.GrantFailed: vitalBurst, event.ReleaseEnded: vitalBurst,
	event.PeerOutOfReach: vitalBurst, event.NewsNotSent: vitalBurst,
	event.RequestAnswered: rareBurst, event.RequestNotRun: rareBurst, event.RequestMayHaveRun: rareBurst,
	event.RequestRejected: rareBurst, event.CallerLeft: rareBurst,
}

// Event writes one event of the catalogue, if the rate has room for its kind.
func (b *Logger) Event(number event.Number, cause string, fields ...zap.Field) {
	now := time.Now()
	if !b.allowed(now, number) {
		b.leftOut.Add(1)
		return
	}
	definition, _ := event.Lookup(number)
	fields = append(fields, zap.Uint16("event", uint16(number)))
	if cause != "" {
		fields = append(fields, zap.String("cause", cause))
	}
	line, err := b.encoder.Clone().EncodeEntry(zapcore.Entry{Level: level(definition.Level), Time: now, Message: definition.Name}, fields)
	if err != nil {
		b.leftOut.Add(1) // A field that can't be encoded; the count says so.
		return
	}
	text := append([]byte(nil), line.Bytes()...)
	line.Free()
	select {
	case b.queue <- text:
		b.total.Add(1)
	default:
		b.leftOut.Add(1)
	}
}

// allowed takes one line from the rate.
func (b *Logger) allowed(now time.Time, number event.Number) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reserve := reserves[number]; reserve > 0 && b.limiter.TokensAt(now) < reserve {
		return false
	}
	return b.limiter.AllowN(now, 1)
}

// Counts returns the lines written and left out so far.
func (b *Logger) Counts() (written, leftOut int64) { return b.total.Load(), b.leftOut.Load() }

// Close writes what is queued and ends the book. It waits at most the given
// time for the output.
func (b *Logger) Close(most time.Duration) {
	b.end.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(most):
	}
}

// write brings queued lines to the output, several at once.
func (b *Logger) write() {
	defer close(b.done)
	said := int64(0)
	for {
		select {
		case line := <-b.queue:
			select {
			case <-time.After(gatherTime):
			case <-b.stop:
			}
			b.flush(line)
		case <-b.stop:
			b.flush(nil)
			return
		}
		if missing := b.leftOut.Load(); missing > said && b.allowed(time.Now(), event.GatewayLinesLeftOut) {
			b.Event(event.GatewayLinesLeftOut, "", zap.Int64("lines", missing-said))
			said = missing
		}
	}
}

// flush writes a line and all that are queued. An output that fails costs its
// lines: there is nowhere else to say so.
func (b *Logger) flush(text []byte) {
	for {
		select {
		case line := <-b.queue:
			text = append(text, line...)
		default:
			if len(text) > 0 {
				_, err := b.output.Write(text)
				if err != nil {
					b.leftOut.Add(1)
				}
			}
			return
		}
	}
}

func level(l event.Level) zapcore.Level {
	levels := [...]zapcore.Level{event.Debug: zapcore.DebugLevel, event.Info: zapcore.InfoLevel, event.Warn: zapcore.WarnLevel, event.Error: zapcore.ErrorLevel}
	return levels[l]
}
