package planner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/control/load"
	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
)

var settings = Settings{HoldTime: 30 * time.Second, MovesPerMinute: 12, HotKeyShare: 20}

// newView returns a view of servers in which the units are assigned round-robin
// to the first owners of them.
func newView(units, owners, servers int) View {
	v := View{Page: ownership.Page{Shards: uint32(units)}}
	for i := range servers {
		v.Servers = append(v.Servers, Server{Name: string(rune('a' + i)), Slots: 4, AcceptsUnits: true, KeepsUnits: true})
	}
	for id := range units {
		owner := v.Servers[id%owners].Name
		v.Page.Units = append(v.Page.Units, ownership.Unit{ID: ownership.UnitID(id), Owner: owner, Epoch: 1})
	}
	return v
}

// runWindows runs the planner over windows and returns the number of moves.
// count returns the requests of a unit in a window.
func runWindows(p *Planner, v View, windows int, count func(window int, unit ownership.UnitID) uint32) int {
	moves := 0
	for window := range windows {
		for _, unit := range v.Page.Units {
			p.AddUnitRequests(unit.ID, count(window, unit.ID))
		}
		now := time.Duration(window+1) * load.Window
		moves += len(p.Plan(now, v).Moves)
	}
	return moves
}

// Not every VM reports in the first window. If its counts were used, servers
// whose requests were not reported would look idle and be given units.
func TestMissingReportsInTheFirstWindowCauseNoMoves(t *testing.T) {
	g := NewWithT(t)
	p := New(placement.Balanced{}, settings, 0)
	v := newView(64, 4, 4)
	moves := runWindows(p, v, 20, func(window int, unit ownership.UnitID) uint32 {
		if window == 0 && v.Page.Units[unit].Owner != "a" {
			return 0
		}
		return 200
	})
	g.Expect(moves).To(BeZero())
}

// A service with too little traffic to measure must still use a server that
// returns: its units are balanced by number after idleWindows.
func TestReturnedServerGetsUnitsOfAnIdleService(t *testing.T) {
	g := NewWithT(t)
	p := New(placement.Balanced{}, settings, 0)
	idle := func(int, ownership.UnitID) uint32 { return 0 }
	g.Expect(runWindows(p, newView(64, 3, 4), idleWindows, idle)).To(BeZero())
	moves := p.Plan((idleWindows+1)*load.Window, newView(64, 3, 4)).Moves
	g.Expect(moves).NotTo(BeEmpty())
	for _, move := range moves {
		g.Expect(move.To).To(Equal("d"))
	}
}

func TestRequiredMovesAreNotLimited(t *testing.T) {
	g := NewWithT(t)
	p := New(placement.Balanced{}, settings, 0)
	v := newView(64, 2, 3)
	v.Servers[0].KeepsUnits = false
	moves := p.Plan(0, v).Moves
	g.Expect(moves).To(HaveLen(32))
	for _, move := range moves {
		g.Expect(move.From).To(Equal("a"))
	}
}

func TestRebalancingStaysWithinTheBudgetPerMinute(t *testing.T) {
	g := NewWithT(t)
	p := New(placement.Balanced{}, settings, 0)
	v := newView(256, 3, 4)
	const windowsPerMinute = int(time.Minute / load.Window)
	busy := func(int, ownership.UnitID) uint32 { return 100 }
	g.Expect(runWindows(p, v, windowsPerMinute, busy)).To(And(BeNumerically(">", 0), BeNumerically("<=", settings.MovesPerMinute)))
}

func TestDeclaredKeysAreIsolatedAndMovedToTheirServer(t *testing.T) {
	g := NewWithT(t)
	p := New(placement.Balanced{}, settings, 0)
	v := newView(8, 2, 2)
	v.Declarations = []Declaration{{Key: "k", Server: "b"}}
	idle := func(int, ownership.UnitID) uint32 { return 0 }
	runWindows(p, v, 1, idle)
	g.Expect(p.Plan(2*load.Window, v).Isolate).To(Equal([]string{"k"}))
	v.Page.Units = append(v.Page.Units, ownership.Unit{ID: 8, Owner: "a", Epoch: 1})
	v.Page.Overrides = []ownership.Override{{Key: "k", Unit: 8, Declared: true}}
	g.Expect(p.Plan(2*load.Window, v).Moves).To(Equal([]placement.Move{{Unit: 8, From: "a", To: "b"}}))
}

// Each isolation of a key makes a unit with a new ID, and its merge ends the unit.
func TestUnitsThatHaveEndedTakeNoMemory(t *testing.T) {
	g := NewWithT(t)
	p := New(placement.Balanced{}, settings, 0)
	v := newView(8, 2, 2)
	last := len(v.Page.Units) - 1
	for window := range 500 {
		v.Page.Units[last].ID++ // Another key is isolated instead.
		v.Page.Units[last].Owner = v.Servers[window%2].Name
		v.Servers[window%2].KeepsUnits = false // All of its units move.
		v.Servers[1-window%2].KeepsUnits = true
		for _, unit := range v.Page.Units {
			p.AddUnitRequests(unit.ID, 100)
		}
		now := time.Duration(window+1) * load.Window
		for _, move := range p.Plan(now, v).Moves {
			v.Page.Unit(move.Unit).Owner = move.To
		}
	}
	g.Expect(len(p.lastMoved)).To(BeNumerically("<=", 4*len(v.Page.Units)))
	g.Expect(p.loads.Units()).To(BeNumerically("<=", 2*len(v.Page.Units)))
}
