// Package planner decides which units of one service should move, which keys
// should leave their shard, and which should return to it.
//
// A Planner is pure: the caller passes in the time, the page and the servers,
// and writes the plan to the page. Plans are proposals. Safety never depends
// on them: two planners at once cost moves, never a promise.
package planner

import (
	"time"

	"guavacrank.example/control/load"
	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
)

const (
	// maxOverrides bounds the keys that stand outside their shard.
	maxOverrides = 2048
	// maxIsolations bounds the keys isolated by one plan.
	maxIsolations = 16
	// permille converts the configured share of a hot key.
	permille = 1000
	// untrustedNoise is the relative error above which loads say nothing.
	untrustedNoise = 0.25
	// leastWindows is the number of counting windows before moves by choice.
	leastWindows = 2
	// settledWindows is the number of windows from which a slight imbalance is
	// acted on; before, unsettledNoise lets only a severe one cause moves.
	settledWindows = 12
	unsettledNoise = 0.08
	// quietWindows is the number of windows after which loads that say nothing
	// mean a quiet service, whose units are balanced by number.
	quietWindows = 6
)

// Settings bound what a planner does.
type Settings struct {
	// HoldTime is the least time between two moves of one unit by choice.
	HoldTime time.Duration
	// MovesPerMinute is the greatest rate of moves by choice.
	MovesPerMinute int
	// HotKeyShare is the share of the service's load, in permille, from which
	// a key is isolated. Zero isolates none.
	HotKeyShare int
}

// Server is a backend server as the planner sees it.
type Server struct {
	Name  string
	Slots int
	// AcceptsUnits says that the server answers and may be given further units.
	AcceptsUnits bool
	// KeepsUnits is false for a server that is leaving or lost.
	KeepsUnits bool
}

// Declaration is a key that an operator pinned to a server.
type Declaration struct {
	Key    string
	Server string
}

// View is what a plan is made for.
type View struct {
	Page         ownership.Page
	Servers      []Server // Sorted by name.
	Declarations []Declaration
}

// Plan is what should change. Moves by choice and moves that are needed stand
// in one list; Isolate and Merge name keys.
type Plan struct {
	Moves   []placement.Move
	Isolate []string
	Merge   []string
}

// Empty reports whether nothing should change.
func (p Plan) Empty() bool {
	return len(p.Moves) == 0 && len(p.Isolate) == 0 && len(p.Merge) == 0
}

// Planner plans for one service.
type Planner struct {
	policy   placement.Policy
	settings Settings
	loads    *load.UnitRates
	keys     *load.HotKeys
	moved    map[ownership.UnitID]time.Duration // Time of the last planned move.
	budget   budget
	warmth   warmth
	judged   bool // The closed window was already judged.
	cutShort bool // The budget ended the last moves by choice early.
}

// New returns a planner whose first counting window opens at now.
func New(policy placement.Policy, settings Settings, now time.Duration) *Planner {
	return &Planner{
		policy:   policy,
		settings: settings,
		loads:    load.NewUnitRates(now),
		keys:     load.NewHotKeys(),
		moved:    make(map[ownership.UnitID]time.Duration),
		budget:   budget{perMinute: settings.MovesPerMinute},
		warmth:   newWarmth(),
		judged:   true,
	}
}

// SetSettings replaces the settings.
func (p *Planner) SetSettings(settings Settings) {
	p.settings = settings
	p.budget.perMinute = settings.MovesPerMinute
}

// AddUnitRequests counts requests of a unit, as reported by one VM.
func (p *Planner) AddUnitRequests(unit ownership.UnitID, requests uint32) {
	p.loads.Add(unit, requests)
}

// AddKeyRequests counts requests of a frequent key, as reported by one VM.
func (p *Planner) AddKeyRequests(key string, requests uint32) { p.keys.Add(key, requests) }

// Plan returns what should change now. Needed moves (off servers that can't
// keep their units, and to declared servers) are planned at every call; moves
// by choice, isolations and merges once for each closed counting window.
func (p *Planner) Plan(now time.Duration, view View) Plan {
	p.warmth.observe(now, view)
	if p.loads.Advance(now) {
		hotShare := float64(p.settings.HotKeyShare) / permille
		p.keys.CloseWindow(load.Window, p.loads.Total(), hotShare)
		p.judged = false
	}
	plan := Plan{Moves: p.planMoves(now, view)}
	if p.judged {
		return plan
	}
	p.judged = true
	plan.Isolate = p.planIsolations(view)
	plan.Merge = p.planMerges(view)
	return plan
}

// planMoves plans needed moves, and moves by choice within the budget.
func (p *Planner) planMoves(now time.Duration, view View) []placement.Move {
	servers := p.placementServers(now, view)
	noise := p.loads.Noise(len(servers))
	trusted := noise < untrustedNoise
	units, pinned := p.placementUnits(now, view, trusted)
	var limits placement.Limits
	if trusted {
		limits.Noise = noise
		if p.loads.Windows() < settledWindows {
			limits.Noise = max(noise, unsettledNoise)
		}
	}
	if !p.judged && p.mayChoose(trusted) {
		limits.Moves = p.budget.available(now)
		limits.Continue = p.cutShort
	}
	needed := len(pinned)
	moves := append(pinned, p.policy.Plan(servers, units, limits)...)
	chosen := 0
	for i, move := range moves {
		if i >= needed && p.isByChoice(servers, move) {
			p.budget.take(now)
			chosen++
		}
		p.moved[move.Unit] = now
	}
	if limits.Moves > 0 {
		p.cutShort = chosen == limits.Moves
	}
	return moves
}

// mayChoose reports whether enough is known for moves by choice.
func (p *Planner) mayChoose(trusted bool) bool {
	if trusted {
		return p.loads.Windows() >= leastWindows
	}
	return p.loads.Windows() >= quietWindows
}

// isByChoice reports whether the move's source could have kept the unit.
func (p *Planner) isByChoice(servers []placement.Server, move placement.Move) bool {
	for _, server := range servers {
		if server.Name == move.From {
			return server.KeepsUnits
		}
	}
	return false
}

func (p *Planner) placementServers(now time.Duration, view View) []placement.Server {
	servers := make([]placement.Server, 0, len(view.Servers))
	for _, server := range view.Servers {
		servers = append(servers, placement.Server{
			Name:         server.Name,
			Capacity:     float64(max(server.Slots, 1)) * p.warmth.factor(now, server.Name),
			AcceptsUnits: server.AcceptsUnits && server.KeepsUnits,
			KeepsUnits:   server.KeepsUnits,
		})
	}
	return servers
}
