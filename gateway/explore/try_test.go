package explore

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	b := DefaultBounds()
	b.Faults, _ = strconv.Atoi(os.Getenv("F"))
	if os.Getenv("R") != "" {
		b.Rules = []Rule{Holders, Fences, Owned, Work}
	}
	b.States = 3_000_000
	b.Time = 60 * time.Second
	w := newWorld(b.Size)
	fmt.Println(w.describe(), w.broken)
	r, err := Explore(context.Background(), b, nil)
	fmt.Printf("%+v %v\n", r, err)
	if r.Schedule != nil {
		r.Schedule.Write(os.Stdout)
	}
}
