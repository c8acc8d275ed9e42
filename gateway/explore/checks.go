package explore

import (
	"cmp"
	"fmt"

	"guavacrank.example/gateway/keys"
)

// Rule names what must hold in every state.
type Rule string

// Rules.
const (
	// Holders: no two running servers hold a key.
	Holders Rule = "holders"
	// Fences: a server takes a key with a fence above all that others had it with.
	Fences Rule = "fences"
	// Lives: so does a later life of a server, compared with its earlier ones.
	Lives Rule = "lives"
	// Releases: a release never ends a later grant of its server.
	Releases Rule = "releases"
	// LateReleases: nor does one that was held up on its way.
	LateReleases Rule = "late-releases"
	// Unreached: nor do two servers hold a key, or fences fall, by a grant that outlived its
	// leader's process and arrived before any leader can have reached the server.
	Unreached Rule = "unreached"
	// Capped: the same while the server resets new connections after a cut.
	Capped Rule = "capped"
	// Work: a server gets a key only when the work on it that another server began has
	// ended, or the latter's hold has run out.
	Work Rule = "work"
	// Leaders: a leader that another one takes for stopped, as a majority has left it, has
	// stopped.
	Leaders Rule = "leaders"
	// Owned: all keys are owned some time after the last fault.
	Owned Rule = "owned"
)

// Rules lists all rules.
func Rules() []Rule {
	return []Rule{Holders, Fences, Lives, Releases, LateReleases, Unreached, Capped, Work, Leaders, Owned}
}

// Violation is a rule that was broken.
type Violation struct {
	Rule Rule   `json:"rule"`
	Text string `json:"text"`
}

// String returns the violation as one line.
func (v *Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Text) }

// violate records the first violation of each state's past.
func (w *world) violate(rule Rule, format string, args ...any) {
	if w.broken == nil {
		w.broken = &Violation{rule, fmt.Sprintf(format, args...)}
	}
}

// firstKey returns the key of a sample.
func firstKey(sample int) int { return sample * keysPerSample }

func (w *world) checkHolders() {
	for key := range samples {
		first := -1
		for at := range w.servers {
			if !w.holdsKey(at, key) {
				continue
			}
			if first >= 0 {
				a, b := &w.servers[first], &w.servers[at]
				w.violate(cmp.Or(a.holds[key].rule, b.holds[key].rule, Holders), "key %d is held by %s (fence %d) and %s (fence %d)", firstKey(key), a.name(), a.holds[key].fence, b.name(), b.holds[key].fence)
				return
			}
			first = at
		}
	}
}

func (w *world) checkFence(key, at int, call *keys.GrantCall) {
	last := w.highest[key]
	if last.fence != 0 && last.server != at && last.fence >= call.Fence {
		rule := Fences
		if w.servers[last.server].id == w.servers[at].id {
			rule = Lives
		}
		w.violate(rule, "key %d went to %s with fence %d; %s had it with %d", firstKey(key), w.servers[at].name(), call.Fence, w.servers[last.server].name(), last.fence)
	}
	if call.Fence >= last.fence {
		w.highest[key] = taken{call.Fence, at}
	}
}

func (w *world) checkRelease(key, at int, fence uint64, c *call) {
	rule := Releases
	if c.phase != prompt {
		rule = LateReleases
	}
	if call := c.release; fence > call.Fence {
		w.violate(rule, "key %d of %s, held with fence %d, was released with fence %d", firstKey(key), w.servers[at].name(), fence, call.Fence)
	}
}

// checkWork reports work that another server has not finished after a release.
func (w *world) checkWork(key, at int) {
	for i := range w.calls {
		c := &w.calls[i]
		if c.kind != releaseCall || c.phase != answered || c.server == at || c.workUntil <= w.now || !w.servers[c.server].up {
			continue
		}
		if c.works[key] {
			w.violate(Work, "key %d went to %s while %s is at work on it", firstKey(key), w.servers[at].name(), w.servers[c.server].name())
		}
	}
}
