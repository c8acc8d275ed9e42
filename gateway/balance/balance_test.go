package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

const objective = 300 * time.Millisecond

func server(id string, distance Distance) *Server {
	return &Server{Server: model.Server{ID: id, Slots: 6}, Distance: distance}
}

// simulate records one request to a server.
func simulate(s *Server, now, latency time.Duration, result Result) {
	s.BeginRequest(now)
	s.EndRequest(now+latency, now, result)
}

func TestChoose(t *testing.T) {
	t.Run("prefers a nearby server unless it is much slower", func(t *testing.T) {
		g := NewWithT(t)
		near, far := server("near", SameZone), server("far", OtherRegion)
		for i := range 20 {
			simulate(near, time.Duration(i), 100*time.Millisecond, Succeeded)
			simulate(far, time.Duration(i), 60*time.Millisecond, Succeeded)
		}
		g.Expect(Choose(0, []*Server{near, far}, objective, nil, 1).Server).To(Equal(near))
		for i := range 40 {
			simulate(near, time.Duration(i), 900*time.Millisecond, Succeeded)
		}
		g.Expect(Choose(0, []*Server{near, far}, objective, nil, 1).Server).To(Equal(far))
	})

	t.Run("ejects an unreachable server and tries it again later", func(t *testing.T) {
		g := NewWithT(t)
		bad, good := server("bad", SameZone), server("good", SameRegion)
		simulate(good, 0, 200*time.Millisecond, Succeeded)
		simulate(bad, 0, time.Millisecond, Unreachable)
		servers := []*Server{bad, good}
		g.Expect(Choose(10*time.Millisecond, servers, objective, nil, 1).Server).To(Equal(good))
		g.Expect(Choose(10*time.Millisecond, servers[:1], objective, nil, 1).Server).To(Equal(bad), "the only server is used even if ejected")
		g.Expect(Choose(10*time.Second, servers, objective, nil, 1).Server).To(Equal(bad))
	})

	t.Run("ejects a server after consecutive incomplete responses", func(t *testing.T) {
		g := NewWithT(t)
		bad, good := server("bad", SameZone), server("good", OtherRegion)
		simulate(good, 0, 100*time.Millisecond, Succeeded)
		for range maxConsecutiveFailures {
			simulate(bad, 0, time.Millisecond, Incomplete)
		}
		g.Expect(Choose(time.Millisecond, []*Server{bad, good}, objective, nil, 1).Server).To(Equal(good))
	})

	t.Run("avoids a server that refuses some requests", func(t *testing.T) {
		g := NewWithT(t)
		flaky, good := server("flaky", SameZone), server("good", SameZone)
		for i := range 40 {
			simulate(good, time.Duration(i), 100*time.Millisecond, Succeeded)
			simulate(flaky, time.Duration(i), 90*time.Millisecond, Succeeded)
			if i%2 == 0 {
				simulate(flaky, time.Duration(i), time.Millisecond, Refused)
			}
		}
		g.Expect(Choose(time.Second, []*Server{flaky, good}, objective, nil, 1).Server).To(Equal(good))
	})

	t.Run("sends requests to a new server", func(t *testing.T) {
		g := NewWithT(t)
		old, joined := server("old", SameZone), server("joined", SameZone)
		joined.WarmUp = 3 * time.Second
		chosen := false
		for i := range 40 {
			now := time.Duration(i) * 100 * time.Millisecond
			simulate(old, now, 90*time.Millisecond, Succeeded)
			chosen = chosen || Choose(now, []*Server{old, joined}, objective, nil, 1).Server == joined
		}
		g.Expect(chosen).To(BeTrue())
	})

	t.Run("takes the age of requests in flight into account", func(t *testing.T) {
		g := NewWithT(t)
		slow, good := server("slow", SameZone), server("good", SameZone)
		for range 10 {
			simulate(slow, 0, 50*time.Millisecond, Succeeded)
			simulate(good, 0, 100*time.Millisecond, Succeeded)
		}
		slow.BeginRequest(0)
		g.Expect(Choose(time.Second, []*Server{slow, good}, objective, nil, 1).Server).To(Equal(good))
	})

	t.Run("never chooses a replaced or an excluded server", func(t *testing.T) {
		g := NewWithT(t)
		replaced, excluded := server("replaced", SameZone), server("excluded", SameZone)
		simulate(replaced, 0, time.Millisecond, Replaced)
		exclude := func(s *Server) bool { return s == excluded }
		g.Expect(Choose(0, []*Server{replaced, excluded}, objective, exclude, 1).Server).To(BeNil())
		g.Expect(replaced.Replaced()).To(BeTrue())
	})
}

func TestLostKeys(t *testing.T) {
	g := NewWithT(t)
	s := server("s", SameZone)
	for range maxConsecutiveNotOwner {
		g.Expect(s.LostKeys(0)).To(BeFalse())
		simulate(s, 0, time.Millisecond, NotOwner)
	}
	g.Expect(s.LostKeys(2 * time.Millisecond)).To(BeTrue())
	g.Expect(s.LostKeys(time.Second)).To(BeFalse())
	simulate(s, 0, time.Millisecond, Succeeded)
	g.Expect(s.LostKeys(2 * time.Millisecond)).To(BeFalse())
}

func TestShedFraction(t *testing.T) {
	g := NewWithT(t)
	s := server("s", SameZone)
	now := time.Second
	simulate(s, now, 100*time.Millisecond, Succeeded)
	g.Expect(ShedFraction(now, s, objective)).To(BeZero(), "the objective is met")
	for range 30 {
		now += 50 * time.Millisecond
		simulate(s, now, 600*time.Millisecond, Succeeded)
	}
	share := ShedFraction(now, s, objective)
	g.Expect(share).To(And(BeNumerically(">", 0.5), BeNumerically("<=", maxShedFraction)), "the server is fast, but has a queue")
	g.Expect(ShedFraction(now, s, 2*time.Second)).To(BeZero(), "a longer objective is met")
	for range 300 {
		now += 50 * time.Millisecond
		simulate(s, now, 600*time.Millisecond, Succeeded)
	}
	g.Expect(ShedFraction(now, s, objective)).To(BeZero(), "the server is slow without a queue: shedding does not help")
}
