package pick

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulation is a set of servers on a virtual clock.
type simulation struct {
	now        time.Duration
	candidates []Candidate
	random     uint64
}

func newSimulation(count int) *simulation {
	w := &simulation{}
	for range count {
		w.candidates = append(w.candidates, Candidate{Server: NewServer(), Slots: 4, Local: true})
	}
	return w
}

// send lets requests arrive one after the other, a millisecond apart, and end
// after the latency and with the result that behave gives for the server.
func (w *simulation) send(count int, behave func(server int) (Result, time.Duration)) []int {
	chosen := make([]int, len(w.candidates))
	type end struct {
		at      time.Duration
		server  int
		result  Result
		latency time.Duration
	}
	var ends []end
	for range count {
		w.now += time.Millisecond
		w.random = w.random*6364136223846793005 + 1442695040888963407
		kept := ends[:0]
		for _, e := range ends {
			if e.at <= w.now {
				w.candidates[e.server].EndRequest(w.now, e.result, e.latency)
			} else {
				kept = append(kept, e)
			}
		}
		ends = kept
		server := Choose(w.now, w.candidates, w.random>>33)
		chosen[server]++
		w.candidates[server].BeginRequest()
		result, latency := behave(server)
		ends = append(ends, end{w.now + latency, server, result, latency})
	}
	for _, e := range ends {
		w.candidates[e.server].EndRequest(e.at, e.result, e.latency)
	}
	return chosen
}

func healthy(int) (Result, time.Duration) { return Succeeded, 5 * time.Millisecond }

// exceptFirst lets server 0 behave differently.
func exceptFirst(result Result, latency time.Duration) func(int) (Result, time.Duration) {
	return func(server int) (Result, time.Duration) {
		if server == 0 {
			return result, latency
		}
		return healthy(server)
	}
}

func TestChoose(t *testing.T) {
	const servers, requests = 5, 5000
	share := requests / servers

	t.Run("healthy servers get equal shares", func(t *testing.T) {
		g := NewWithT(t)
		for _, count := range newSimulation(servers).send(requests, healthy) {
			g.Expect(count).To(BeNumerically("~", share, share/5))
		}
	})
	t.Run("a slow server gets less", func(t *testing.T) {
		NewWithT(t).Expect(newSimulation(servers).send(requests, exceptFirst(Succeeded, 100*time.Millisecond))[0]).To(BeNumerically("<", share/4))
	})
	t.Run("a server that fails fast gets almost no requests", func(t *testing.T) {
		NewWithT(t).Expect(newSimulation(servers).send(requests, exceptFirst(Failed, time.Millisecond))[0]).To(BeNumerically("<", share/20))
	})
	t.Run("a server that returns errors fast gets almost no requests", func(t *testing.T) {
		NewWithT(t).Expect(newSimulation(servers).send(requests, exceptFirst(ServerError, time.Millisecond))[0]).To(BeNumerically("<", share/20))
	})
	t.Run("a server that sheds is avoided for a while", func(t *testing.T) {
		NewWithT(t).Expect(newSimulation(servers).send(requests, exceptFirst(Refused, time.Millisecond))[0]).To(BeNumerically("<", share/5))
	})
	t.Run("a cold server warms up before it gets its share", func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(servers)
		w.send(requests, healthy)
		w.candidates[0].Server = NewServer()
		g.Expect(w.send(20, exceptFirst(Succeeded, 500*time.Millisecond))[0]).To(Equal(1))
	})
	t.Run("a server that recovers gets its share again", func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(servers)
		w.send(requests, exceptFirst(Failed, time.Millisecond))
		w.now += maxEjection
		w.send(requests, healthy)
		g.Expect(w.send(requests, healthy)[0]).To(BeNumerically("~", share, share/4))
	})
	t.Run("false health reports leave every server in use", func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(servers)
		w.send(requests, healthy)
		for _, c := range w.candidates {
			c.ReportHealth(w.now, false)
		}
		for _, count := range w.send(requests, healthy) {
			g.Expect(count).To(BeNumerically(">", share/2))
		}
	})
	t.Run("failures everywhere leave every server in use", func(t *testing.T) {
		g := NewWithT(t)
		for _, count := range newSimulation(servers).send(requests, func(int) (Result, time.Duration) { return Failed, time.Millisecond }) {
			g.Expect(count).To(BeNumerically(">", share/4))
		}
	})
	t.Run("the local region is preferred", func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(servers)
		w.candidates[3].Local, w.candidates[4].Local = false, false
		chosen := w.send(requests, healthy)
		g.Expect(chosen[3] + chosen[4]).To(BeNumerically("<", requests/100))
	})
	t.Run("the other region serves when the local one fails", func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(servers)
		w.candidates[0].Local, w.candidates[1].Local = true, true
		for i := 2; i < servers; i++ {
			w.candidates[i].Local = false
		}
		chosen := w.send(requests, func(server int) (Result, time.Duration) {
			if server < 2 {
				return Failed, time.Millisecond
			}
			return healthy(server)
		})
		g.Expect(chosen[0] + chosen[1]).To(BeNumerically("<", requests/20))
	})
	t.Run("a server that was tried is excluded", func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(2)
		w.candidates[0].Excluded = true
		g.Expect(Choose(0, w.candidates, 0)).To(Equal(1))
		w.candidates[1].Excluded = true
		g.Expect(Choose(0, w.candidates, 0)).To(Equal(-1))
		g.Expect(Choose(0, nil, 0)).To(Equal(-1))
	})
}
