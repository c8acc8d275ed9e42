// Package placement measures imbalance and churn of the placement policies on
// the sizes of both users, on a virtual clock.
package placement

import (
	"context"
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/control/placement"
)

// Options configures a run.
type Options struct {
	// Seed of the drawn request counts.
	Seed uint64
	// Policies to measure; nil means all.
	Policies []placement.Policy
}

// Targets of issue 4; imbalances are max/mean.
const (
	targetSteady    = 1.10
	targetRecovered = 1.25
	// targetLossChurn bounds the moves after a server loss beyond those of the
	// units it owned, over all units of the service.
	targetLossChurn = 0.05
	// targetJoinShare bounds the joining server's load over its fair share.
	targetJoinShare = 1.0
)

const (
	convergeTime = 10 * time.Minute
	steadyTime   = 10 * time.Minute
	recoverTime  = 60 * time.Second
)

var deployments = []deployment{
	{name: "verhaegen", servers: 10, slots: 6, shards: 256},
	{name: "chikushi", servers: 12, slots: 4, shards: 256},
}

// AllPolicies returns the policy in use followed by the baselines.
func AllPolicies() []placement.Policy {
	return []placement.Policy{
		placement.Balanced{},
		placement.FewestUnits{},
		placement.Rendezvous{},
		placement.BoundedHash{},
	}
}

// Run measures every policy on both deployments. Targets stand at the rows of
// the policy in use only.
func Run(ctx context.Context, options Options) (report.Report, error) {
	result := report.Report{Benchmark: "placement"}
	policies := options.Policies
	if policies == nil {
		policies = AllPolicies()
	}
	for _, d := range deployments {
		for _, policy := range policies {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			result.Rows = append(result.Rows, measure(d, policy, options.Seed)...)
		}
	}
	return result, nil
}

func measure(d deployment, policy placement.Policy, seed uint64) []report.Row {
	rows := measureSteady(d, policy, seed)
	rows = append(rows, measureHotKey(d, policy, seed)...)
	rows = append(rows, measureLoss(d, policy, seed)...)
	rows = append(rows, measureJoin(d, policy, seed)...)
	_, inUse := policy.(placement.Balanced)
	for i := range rows {
		rows[i].Name = "placement." + d.name + "." + rows[i].Name
		rows[i].Policy = policy.Name()
		if !inUse {
			rows[i].Bound = ""
			rows[i].Target = 0
		}
	}
	return rows
}

// measureSteady is the steady skewed load with a hot key.
func measureSteady(d deployment, policy placement.Policy, seed uint64) []report.Row {
	s := newSimulation(d, policy, seed, true)
	s.run(convergeTime)
	converging := s.moves
	s.run(steadyTime)
	return []report.Row{
		{Name: "steady.imbalance", Value: s.imbalance(), Unit: "max/mean", Target: targetSteady, Bound: "max"},
		{Name: "steady.moves", Value: float64(s.moves - converging), Unit: "moves", Target: 0, Bound: "max"},
		{Name: "converge.moves", Value: float64(converging - int(d.shards)), Unit: "moves"},
	}
}

// measureHotKey lets a key of 5% of the load appear.
func measureHotKey(d deployment, policy placement.Policy, seed uint64) []report.Row {
	s := newSimulation(d, policy, seed, false)
	s.run(convergeTime)
	before := s.moves
	s.workload = newWorkload(d.shards, true)
	appeared := s.imbalance()
	s.run(recoverTime)
	return []report.Row{
		{Name: "hot-key.imbalance-at-once", Value: appeared, Unit: "max/mean"},
		{Name: "hot-key.imbalance-after-60s", Value: s.imbalance(), Unit: "max/mean", Target: targetRecovered, Bound: "max"},
		{Name: "hot-key.moves", Value: float64(s.moves - before), Unit: "moves"},
	}
}

// measureLoss takes the server away that owns the hot key: the worst one.
func measureLoss(d deployment, policy placement.Policy, seed uint64) []report.Row {
	s := newSimulation(d, policy, seed, true)
	s.run(convergeTime)
	before := s.moves
	owned := s.lose(s.ownerOf(hotKeyName))
	s.run(recoverTime)
	recovered := s.imbalance()
	s.run(convergeTime)
	extra := float64(s.moves - before - owned)
	return []report.Row{
		{Name: "loss.imbalance-after-60s", Value: recovered, Unit: "max/mean", Target: targetRecovered, Bound: "max"},
		{Name: "loss.own-moves", Value: float64(owned), Unit: "moves"},
		{Name: "loss.extra-moves", Value: extra / float64(d.shards), Unit: "ratio", Target: targetLossChurn, Bound: "max"},
	}
}

// measureJoin adds one server.
func measureJoin(d deployment, policy placement.Policy, seed uint64) []report.Row {
	s := newSimulation(d, policy, seed, true)
	s.run(convergeTime)
	before := s.moves
	name := s.join(d.slots)
	s.run(convergeTime)
	fair := 1 / float64(len(s.servers))
	return []report.Row{
		{Name: "join.load-over-fair-share", Value: s.loadOf(name) / fair, Unit: "ratio", Target: targetJoinShare, Bound: "max"},
		{Name: "join.moves", Value: float64(s.moves - before), Unit: "moves"},
		{Name: "join.imbalance", Value: s.imbalance(), Unit: "max/mean", Target: targetSteady, Bound: "max"},
	}
}
