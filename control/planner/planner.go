// Package planner decides which units of one service to move, which keys to
// isolate from their shard, and which isolated keys to merge back into it.
//
// A Planner does no I/O and reads no clock: its user passes in the time, the
// page and the servers, and writes the plan to the page. Plans are only
// proposals and safety does not depend on them: two planners active at once
// cause unnecessary moves but never two owners of a unit.
package planner

import (
	"maps"
	"time"

	"guavacrank.example/control/load"
	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
)

const (
	// maxOverrides limits the number of isolated keys.
	maxOverrides = 2048
	// maxIsolations limits the number of keys isolated by one plan.
	maxIsolations = 16
	// permille is the divisor of Settings.HotKeyShare.
	permille = 1000
	// maxTrustedNoise is the relative error above which the measured loads are
	// ignored.
	maxTrustedNoise = 0.25
	// minWindows is the minimum number of counting windows before any rebalancing.
	minWindows = 2
	// stableWindows is the number of windows after which a slight imbalance causes
	// moves. Before that the noise is taken to be at least earlyNoise, so that
	// only a severe imbalance does.
	stableWindows = 12
	earlyNoise    = 0.08
	// idleWindows is the number of windows after which untrusted loads are taken
	// to mean a service with little traffic, whose units are balanced by number.
	idleWindows = 6
)

// Settings limit what a planner does.
type Settings struct {
	// HoldTime is the minimum time between a planned move of a unit and its next
	// rebalancing move.
	HoldTime time.Duration
	// MovesPerMinute is the maximum rate of rebalancing moves.
	MovesPerMinute int
	// HotKeyShare is the share of the service's load, in permille, at which a key
	// is isolated. At zero none is isolated for its load.
	HotKeyShare int
}

// Server is a backend server as the planner sees it.
type Server struct {
	Name  string
	Slots int
	// AcceptsUnits reports whether the server answers and may be given further
	// units.
	AcceptsUnits bool
	// KeepsUnits is false for a server that is leaving or lost.
	KeepsUnits bool
}

// Declaration is a key that an operator pinned to a server.
type Declaration struct {
	Key    string
	Server string
}

// View is the state of the service that a plan is made for.
type View struct {
	Page         ownership.Page
	Servers      []Server // Sorted by name.
	Declarations []Declaration
}

// Plan is a set of proposed changes. Moves holds both required and rebalancing
// moves; Isolate and Merge hold keys.
type Plan struct {
	Moves   []placement.Move
	Isolate []string
	Merge   []string
}

// Empty reports whether the plan changes nothing.
func (p Plan) Empty() bool {
	return len(p.Moves) == 0 && len(p.Isolate) == 0 && len(p.Merge) == 0
}

// Planner makes the plans for one service.
type Planner struct {
	policy          placement.Policy
	settings        Settings
	loads           *load.UnitRates
	keys            *load.HotKeys
	lastMoved       map[ownership.UnitID]time.Duration // Time of each unit's last planned move.
	budget          budget
	warmup          warmupTracker
	evaluated       bool // A plan was already made for the last closed window.
	budgetExhausted bool // The last rebalancing was cut short by the budget.
}

// New returns a planner whose first counting window starts at now.
func New(policy placement.Policy, settings Settings, now time.Duration) *Planner {
	return &Planner{
		policy:    policy,
		settings:  settings,
		loads:     load.NewUnitRates(now),
		keys:      load.NewHotKeys(),
		lastMoved: make(map[ownership.UnitID]time.Duration),
		budget:    budget{perMinute: settings.MovesPerMinute},
		warmup:    newWarmupTracker(),
		evaluated: true,
	}
}

// SetSettings replaces the planner's settings.
func (p *Planner) SetSettings(settings Settings) {
	p.settings = settings
	p.budget.perMinute = settings.MovesPerMinute
}

// AddUnitRequests adds a number of requests for a unit, as reported by one VM.
func (p *Planner) AddUnitRequests(unit ownership.UnitID, requests uint32) {
	p.loads.Add(unit, requests)
}

// AddKeyRequests adds a number of requests for a frequent key, as reported by
// one VM.
func (p *Planner) AddKeyRequests(key string, requests uint32) { p.keys.Add(key, requests) }

// Plan returns the changes to make now. Required moves (off servers that can't
// keep their units, and of declared keys to their servers) are planned on every
// call; rebalancing moves, isolations and merges once for each closed counting
// window.
func (p *Planner) Plan(now time.Duration, view View) Plan {
	p.warmup.observe(now, view)
	if p.loads.Advance(now) {
		hotShare := float64(p.settings.HotKeyShare) / permille
		p.keys.CloseWindow(load.Window, p.loads.Total(), hotShare)
		p.evaluated = false
		p.forgetEndedUnits(view)
	}
	plan := Plan{Moves: p.planMoves(now, view)}
	if p.evaluated {
		return plan
	}
	p.evaluated = true
	plan.Isolate = p.planIsolations(view)
	plan.Merge = p.planMerges(view)
	return plan
}

// forgetEndedUnits forgets what is known of units that are no longer on the page.
func (p *Planner) forgetEndedUnits(view View) {
	present := make(map[ownership.UnitID]bool, len(view.Page.Units))
	for _, unit := range view.Page.Units {
		present[unit.ID] = true
	}
	p.loads.Retain(func(unit ownership.UnitID) bool { return present[unit] })
	maps.DeleteFunc(p.lastMoved, func(unit ownership.UnitID, _ time.Duration) bool { return !present[unit] })
}

// planMoves plans the required moves, and rebalancing moves within the budget.
func (p *Planner) planMoves(now time.Duration, view View) []placement.Move {
	servers := p.placementServers(now, view)
	noise := p.loads.Noise(len(servers))
	trusted := noise < maxTrustedNoise
	units, pinned := p.placementUnits(now, view, trusted)
	var limits placement.Limits
	if trusted {
		limits.Noise = noise
		if p.loads.Windows() < stableWindows {
			limits.Noise = max(noise, earlyNoise)
		}
	}
	if !p.evaluated && p.mayRebalance(trusted) {
		limits.Moves = p.budget.available(now)
		limits.Continue = p.budgetExhausted
	}
	required := len(pinned)
	moves := append(pinned, p.policy.Plan(servers, units, limits)...)
	rebalancing := 0
	for i, move := range moves {
		if i >= required && p.isRebalancing(servers, move) {
			p.budget.spend(now)
			rebalancing++
		}
		p.lastMoved[move.Unit] = now
	}
	if limits.Moves > 0 {
		p.budgetExhausted = rebalancing == limits.Moves
	}
	return moves
}

// mayRebalance reports whether enough windows were counted to rebalance. More
// are needed if the loads are not trusted.
func (p *Planner) mayRebalance(trusted bool) bool {
	if trusted {
		return p.loads.Windows() >= minWindows
	}
	return p.loads.Windows() >= idleWindows
}

// isRebalancing reports whether the move's source could have kept the unit.
func (p *Planner) isRebalancing(servers []placement.Server, move placement.Move) bool {
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
			Capacity:     float64(max(server.Slots, 1)) * p.warmup.factor(now, server.Name),
			AcceptsUnits: server.AcceptsUnits && server.KeepsUnits,
			KeepsUnits:   server.KeepsUnits,
		})
	}
	return servers
}
