package run

import "time"

const (
	// gatherTime is how long daemons that lack the same thing are gathered,
	// resendAfter the least time between two sends of it to one daemon.
	gatherTime  = 150 * time.Millisecond
	resendAfter = 1500 * time.Millisecond
)

// gathering holds the daemons of a large fleet that lack something, which is sent
// to them together by the tree.
type gathering struct {
	lacking map[string]bool
	sent    map[string]time.Duration // When it was sent to each daemon last.
	next    time.Duration            // It is not sent before.
}

func newGathering() gathering {
	return gathering{lacking: make(map[string]bool), sent: make(map[string]time.Duration)}
}

// clear forgets everything.
func (g *gathering) clear() {
	clear(g.lacking)
	clear(g.sent)
}

// add notes a daemon that lacks it, unless it is under way.
func (g *gathering) add(vm string, now time.Duration) {
	if sent, before := g.sent[vm]; !before || now >= sent+resendAfter {
		g.lacking[vm] = true
	}
}

// take returns the daemons to send it to now, or nil.
func (g *gathering) take(now time.Duration) map[string]bool {
	if len(g.lacking) == 0 || now < g.next {
		return nil
	}
	g.next = now + gatherTime
	for vm := range g.lacking {
		g.sent[vm] = now
	}
	taken := g.lacking
	g.lacking = make(map[string]bool)
	return taken
}
