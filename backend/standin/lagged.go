package standin

import "time"

// lagged shows a value as it was some time ago.
type lagged[T any] struct{ history []sample[T] }

type sample[T any] struct {
	at    time.Duration
	value T
}

// set records the value from now on and drops samples that are no longer shown.
func (l *lagged[T]) set(now, lag time.Duration, value T) {
	l.history = append(l.history, sample[T]{at: now, value: value})
	for len(l.history) > 1 && l.history[1].at <= now-lag {
		l.history = l.history[1:]
	}
}

// get returns the value as it was lag ago, or the oldest known one.
func (l *lagged[T]) get(now, lag time.Duration) T {
	var shown T
	for i, old := range l.history {
		if i > 0 && old.at > now-lag {
			break
		}
		shown = old.value
	}
	return shown
}
