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

// ask lets a server answer one request.
func ask(s *Server, now, took time.Duration, result Result) {
	s.BeginRequest(now)
	s.EndRequest(now+took, now, result)
}

func TestChoose(t *testing.T) {
	t.Run("prefers the near server while it is not much slower", func(t *testing.T) {
		g := NewWithT(t)
		near, far := server("near", SameZone), server("far", OtherRegion)
		for i := range 20 {
			ask(near, time.Duration(i), 100*time.Millisecond, Succeeded)
			ask(far, time.Duration(i), 60*time.Millisecond, Succeeded)
		}
		g.Expect(Choose(0, []*Server{near, far}, objective, nil, 1).Server).To(Equal(near))
		for i := range 40 {
			ask(near, time.Duration(i), 900*time.Millisecond, Succeeded)
		}
		g.Expect(Choose(0, []*Server{near, far}, objective, nil, 1).Server).To(Equal(far))
	})

	t.Run("leaves out a server that can't be reached, and tries it again", func(t *testing.T) {
		g := NewWithT(t)
		bad, good := server("bad", SameZone), server("good", SameRegion)
		ask(good, 0, 200*time.Millisecond, Succeeded)
		ask(bad, 0, time.Millisecond, Unreachable)
		servers := []*Server{bad, good}
		g.Expect(Choose(10*time.Millisecond, servers, objective, nil, 1).Server).To(Equal(good))
		g.Expect(Choose(10*time.Millisecond, servers[:1], objective, nil, 1).Server).To(Equal(bad), "there is no other")
		g.Expect(Choose(10*time.Second, servers, objective, nil, 1).Server).To(Equal(bad))
	})

	t.Run("leaves out a server after broken answers in a row", func(t *testing.T) {
		g := NewWithT(t)
		bad, good := server("bad", SameZone), server("good", OtherRegion)
		ask(good, 0, 100*time.Millisecond, Succeeded)
		for range brokenInRow {
			ask(bad, 0, time.Millisecond, Incomplete)
		}
		g.Expect(Choose(time.Millisecond, []*Server{bad, good}, objective, nil, 1).Server).To(Equal(good))
	})

	t.Run("asks a server that fails part of its requests less", func(t *testing.T) {
		g := NewWithT(t)
		grey, good := server("grey", SameZone), server("good", SameZone)
		for i := range 40 {
			ask(good, time.Duration(i), 100*time.Millisecond, Succeeded)
			ask(grey, time.Duration(i), 90*time.Millisecond, Succeeded)
			if i%2 == 0 {
				ask(grey, time.Duration(i), time.Millisecond, Refused)
			}
		}
		g.Expect(Choose(time.Second, []*Server{grey, good}, objective, nil, 1).Server).To(Equal(good))
	})

	t.Run("gives a joined server its first requests", func(t *testing.T) {
		g := NewWithT(t)
		old, joined := server("old", SameZone), server("joined", SameZone)
		joined.WarmUp = 3 * time.Second
		chosen := false
		for i := range 40 {
			now := time.Duration(i) * 100 * time.Millisecond
			ask(old, now, 90*time.Millisecond, Succeeded)
			chosen = chosen || Choose(now, []*Server{old, joined}, objective, nil, 1).Server == joined
		}
		g.Expect(chosen).To(BeTrue())
	})

	t.Run("sees that requests under way take long before they end", func(t *testing.T) {
		g := NewWithT(t)
		slow, good := server("slow", SameZone), server("good", SameZone)
		for range 10 {
			ask(slow, 0, 50*time.Millisecond, Succeeded)
			ask(good, 0, 100*time.Millisecond, Succeeded)
		}
		slow.BeginRequest(0)
		g.Expect(Choose(time.Second, []*Server{slow, good}, objective, nil, 1).Server).To(Equal(good))
	})

	t.Run("never takes a server whose address another one has, nor an excluded one", func(t *testing.T) {
		g := NewWithT(t)
		replaced, excluded := server("replaced", SameZone), server("excluded", SameZone)
		ask(replaced, 0, time.Millisecond, Replaced)
		not := func(s *Server) bool { return s == excluded }
		g.Expect(Choose(0, []*Server{replaced, excluded}, objective, not, 1).Server).To(BeNil())
		g.Expect(replaced.Replaced()).To(BeTrue())
	})
}

func TestLapsed(t *testing.T) {
	g := NewWithT(t)
	s := server("s", SameZone)
	for range misplacedInRow {
		g.Expect(s.LostKeys(0)).To(BeFalse())
		ask(s, 0, time.Millisecond, NotOwner)
	}
	g.Expect(s.LostKeys(2 * time.Millisecond)).To(BeTrue())
	g.Expect(s.LostKeys(time.Second)).To(BeFalse())
	ask(s, 0, time.Millisecond, Succeeded)
	g.Expect(s.LostKeys(2 * time.Millisecond)).To(BeFalse())
}

func TestCrowded(t *testing.T) {
	g := NewWithT(t)
	s := server("s", SameZone)
	now := time.Second
	ask(s, now, 100*time.Millisecond, Succeeded)
	g.Expect(ShedFraction(now, s, objective)).To(BeZero(), "it answers in time")
	for range 30 {
		now += 50 * time.Millisecond
		ask(s, now, 600*time.Millisecond, Succeeded)
	}
	share := ShedFraction(now, s, objective)
	g.Expect(share).To(And(BeNumerically(">", 0.5), BeNumerically("<=", crowdMost)), "requests wait there")
	g.Expect(ShedFraction(now, s, 2*time.Second)).To(BeZero(), "other requests have the time")
	for range 300 {
		now += 50 * time.Millisecond
		ask(s, now, 600*time.Millisecond, Succeeded)
	}
	g.Expect(ShedFraction(now, s, objective)).To(BeZero(), "it is slow without a queue: refusing gains nothing")
}
