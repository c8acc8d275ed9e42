package elapsed_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"guavacrank.example/traffic/elapsed"
)

func TestContextEndsWhenItsClockHasPassedTheDeadlineBeforeATimer(t *testing.T) {
	now := 10 * time.Second
	ctx, cancel := elapsed.WithDeadline(context.Background(), func() time.Duration { return now }, now+time.Hour)
	defer cancel()
	if err := ctx.Err(); err != nil {
		t.Fatalf("before the deadline: %v", err)
	}
	now += time.Hour // The VM was suspended: no timer has advanced.
	if err := ctx.Err(); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("at the deadline: %v", err)
	}
	if err := context.WithValue(ctx, &now, 1).Err(); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("of a context with a value: %v", err)
	}
}

func TestContextEndsByItsTimerAndByItsParent(t *testing.T) {
	parent, end := context.WithCancel(context.Background())
	timed, cancelTimed := elapsed.WithDeadline(parent, elapsed.Now, elapsed.Now()+10*time.Millisecond)
	defer cancelTimed()
	<-timed.Done()
	if err := timed.Err(); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("after its timeout: %v", err)
	}
	child, cancelChild := elapsed.WithDeadline(parent, elapsed.Now, elapsed.Now()+time.Hour)
	defer cancelChild()
	end()
	<-child.Done()
	if err := child.Err(); !errors.Is(err, context.Canceled) {
		t.Fatalf("after the end of its parent: %v", err)
	}
}
