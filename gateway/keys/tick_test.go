package keys_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavacrank.example/gateway/model"
)

// BenchmarkTick measures one tick of a leader whose service has many servers,
// with keys that were asked for lately.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{87, 870} {
		b.Run(fmt.Sprintf("%d-servers", servers), func(b *testing.B) { benchmarkTick(b, servers) })
	}
}

func benchmarkTick(b *testing.B, servers int) {
	const asked = 10_000
	w := newWorld(1)
	for i := range servers {
		w.addServer(fmt.Sprintf("i-%d", i), 1000)
	}
	m := w.addLeader("a")
	w.run(1500 * time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	warm := make([]uint16, asked)
	for at := range warm {
		warm[at] = uint16(random.IntN(model.Keys))
	}
	at := 0
	for b.Loop() {
		w.now += worldTick
		m.StepRequests(w.now, warm[at:at+asked/100])
		at = (at + asked/100) % asked
		m.Tick(w.now)
		m.Ready()
	}
}
