package control_test

import (
	"context"
	"testing"
	"time"

	"guavacrank.example/bench/control"
)

// TestTargets holds the stated bounds: time to in force on both sites, and the
// cost of a daemon in a fleet of today's size.
func TestTargets(t *testing.T) {
	result, err := control.Run(context.Background(), control.Options{
		Sizes: []int{12}, VirtualSizes: []int{12, 200}, Changes: 30, FaultRuns: 5, Period: 3 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range result.Missed() {
		t.Errorf("%s (%s): %.1f %s, target %s %.1f", row.Name, row.Policy, row.Value, row.Unit, row.Bound, row.Target)
	}
}

// TestSameVerdict: what runs on the virtual clock gives the same figures again.
func TestSameVerdict(t *testing.T) {
	options := control.Options{Sizes: []int{}, VirtualSizes: []int{12}, Changes: 20, FaultRuns: 2}
	first, err := control.Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	second, err := control.Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	for i, row := range first.Rows {
		if second.Rows[i] != row {
			t.Errorf("%s (%s): %v, then %v", row.Name, row.Policy, row.Value, second.Rows[i].Value)
		}
	}
}
