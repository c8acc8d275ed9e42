package explore_test

// edit replaces a text that occurs once in a file, named from gateway/keys.
type edit struct{ file, old, new string }

// mutation takes a mending out of the product's decision code. The edits are applied to a
// copy, which a build uses in place of the file: the code itself has no switch.
type mutation struct {
	name  string
	edits []edit
}

// mutations are the mendings of docs/incidents and the rules of gateway/keys/doc.go.
var mutations = []mutation{
	{"prior holders are not waited for", []edit{{"system_prior.go", "if end == notEnded {\n\t\t\treturn \"\", false", "if end == notEnded && r.Size() == 0 {\n\t\t\treturn \"\", false"}}},
	{"daemons that are not recorded count as having left a leader", []edit{{"../succession/majority.go", " && (r.Recorded || !e.Recorded) {", " {"}}},
	{"daemons that are not recorded count for a leader without the store", []edit{{"../succession/majority.go", "r.StartedAt <= leaseEnd && r.Recorded {", "r.StartedAt > 0 {"}, {"../succession/majority.go", " || !r.MayBeRecorded {", " {"}}},
	{"a fence goes over several connections", []edit{
		{"grants.go", "if g.fence != 0 && !g.spent {", "if g.fence != 0 {"},
		{"system_renewal.go", "call.Server, call.Connection = r.Owner.ID, grant.connection", "call.Server, call.Connection = r.Owner.ID, 0"},
	}},
	{"earlier leaders are not waited for", []edit{{"predecessors.go", "if len(m.predecessors.active) > 0 {\n\t\treturn m.leadingSince", "if m.now >= 0 {\n\t\treturn 0\n\t}\n\tif len(m.predecessors.active) > 0 {\n\t\treturn m.leadingSince"}}},
	{"the page does not name earlier leaders", []edit{{"system_draft.go", "if !slices.Equal(b.page.Predecessors, b.predecessors.active) {", "if false {"}}},
	{"late unanswered grants end with a release", []edit{{"system_prior.go", "case released && (late == 0 || m.now >= late+m.maxGrantLifetime()):", "case released && late >= 0:"}}},
	{"a release is sent while a grant is in flight", []edit{
		{"system_prior.go", "releasing || len(m.bounds[key].pending) > 0 ||", "releasing ||"},
		{"system_prior.go", "if len(bound.pending) > 0 {\n\t\treturn notEnded, \"\"\n\t}", ""},
	}},
	{"grants that timed out are not in transit", []edit{{"zones.go", "transitTime = 700 * time.Millisecond", "transitTime = 0 * time.Millisecond"}}},
	{"the clocks of servers are right", []edit{{"machine.go", "clockDriftPercent = 2", "clockDriftPercent = 0"}}},
	{"no margin for expiry", []edit{{"machine.go", "expiryMargin = 100 * time.Millisecond", "expiryMargin = 0 * time.Millisecond"}}},
	{"the clocks of servers are right, and no margin for expiry", []edit{
		{"machine.go", "clockDriftPercent = 2", "clockDriftPercent = 0"},
		{"machine.go", "expiryMargin = 100 * time.Millisecond", "expiryMargin = 0 * time.Millisecond"},
	}},
	{"a leader forgets its late calls when it leads again", []edit{
		{"predecessors.go", "m.predecessors.endedBy = max(m.predecessors.endedBy, m.ownCallsEnd()) // This machine may have led before.", ""},
		{"system_prior.go", "m.bounds[holderKey{r.From, r.To, prior.Incarnation, prior.Fence}] = m.boundOf(prior)", "_ = at"},
	}},
	{"only another leader's end counts when it leads again", []edit{{"predecessors.go", "m.predecessors.endedBy = max(m.predecessors.endedBy, m.ownCallsEnd()) // This machine may have led before.", ""}}},
	{"read prior holders get no bound", []edit{{"system_prior.go", "m.bounds[holderKey{r.From, r.To, prior.Incarnation, prior.Fence}] = m.boundOf(prior)", "_ = at"}}},
	{"an era begins with the fences of the earlier one", []edit{{"restoration.go", "return uint64(min(era, maxFenceEra)) << fenceBitsPerEra", "return 0"}}},
	{"a restored page is taken without consultation", []edit{{"restoration.go", "return !m.consulted && m.era > 0 && (stored == nil || stored.Era < m.era)", "return false"}}},
	{"holders by lost pages are not waited for", []edit{{"restoration.go", "if b.settlement == settled {\n\t\treturn\n\t}\n\tfor at", "if b.settlement >= settled {\n\t\treturn\n\t}\n\tfor at"}}},
	{"another server's refusal counts while earlier leaders go on", []edit{
		{"step_released.go", "if now < m.predecessorBound() {", "if false {"},
		{"system_prior.go", "case result.ended && m.now >= m.earlierArrival(key, row):", "case result.ended:"},
	}},
	{"a later life that is listed ends a hold", []edit{{"system_prior.go", "case result.ended && m.now", "case (result.ended || m.latestByID[prior.ID].replaces(prior)) && m.now"}}},
	{"any later life listed at the address ends a hold", []edit{{"system_prior.go", "case result.ended && m.now", "case (result.ended || m.replaced(prior)) && m.now"}}},
	{"a new leader keeps the fences", []edit{{"system_draft.go", "b.page.Ranges[at].Owner.Fence = fence", "b.page.Ranges[at].Owner.Fence = max(fence*0, b.page.Ranges[at].Owner.Fence)"}}},
	{"a new leader takes fences that the earlier one may have taken", []edit{{"fences.go", "m.lastFence = max(m.lastFence, m.page.Fence)", "m.lastFence = max(m.lastFence, m.page.Ranges[0].Owner.Fence)"}}},
	{"keys are renewed while they are being moved", []edit{{"system_renewal.go", "if m.writing == nil || !m.changing[r.From] {", "if true {"}}},
	{"a prior holder is released with the fence of its first grant", []edit{
		{"system_draft.go", "prior.Fence = b.sentFence(old)", ""},
		{"system_prior.go", "fence, ok := m.takeFence()", "fence, ok := prior.Fence, true"},
	}},
	{"read prior holders keep the fence that was read", []edit{{"system_prior.go", "prior.Fence = max(prior.Fence, m.fenceOf(before, prior.Incarnation))", ""}}},
	{"a write without an answer counts as refused", []edit{{"step.go", "m.writeUnknown, m.pageKnown = true, false\n\t\tm.retryStoreAt", "m.writing = nil\n\t\tm.retryStoreAt"}}},
	{"a later life gets the keys with the earlier one's fence", []edit{{"system_draft.go", "r.Owner = b.holder(later)", "fence := r.Owner.Fence\n\tr.Owner = b.holder(later)\n\tr.Owner.Fence = fence"}}},
	{"unconfirmed servers are granted keys", []edit{{"system_renewal.go", "return !row.unconfirmed && (row.listed", "return (row.listed"}}},
	{"reads of an earlier era count", []edit{{"step.go", "if !m.leading || position.Era != m.era {", "if !m.leading {"}}},
	{"a read counts while a write is under way", []edit{{"step.go", "if m.writing != nil && !m.writeUnknown {\n\t\treturn\n\t}", ""}}},
	{"servers that lost keys by expiry alone are not fenced", []edit{{"system_draft.go", "b.recordUnfenced(*r)", ""}}},
	{"prior holders that do not answer are not fenced", []edit{{"system_prior.go", "|| m.fenceCutOff(prior, owners)", ""}}},
	{"servers that may be cut off are not fenced", []edit{
		{"system_draft.go", "b.recordUnfenced(*r)", ""},
		{"system_prior.go", "|| m.fenceCutOff(prior, owners)", ""},
	}},
	{"a release has the fence of the grant that it ends", []edit{{"system_prior.go", "fence, ok := m.takeFence()", "fence, ok := prior.Fence, true"}}},
	{"fencing calls have no higher fence", []edit{{"system_fencing.go", "fence, ok := m.takeFence()", "fence, ok := uint64(1), true"}}},
	{"releases and fencing calls have no higher fences", []edit{
		{"system_prior.go", "fence, ok := m.takeFence()", "fence, ok := prior.Fence, true"},
		{"system_fencing.go", "fence, ok := m.takeFence()", "fence, ok := uint64(1), true"},
	}},
	{"a server that is being fenced gets keys", []edit{{"load.go", "if m.beingFenced(row.endpoint()) {", "if false {"}}},
	{"pages tell that grants to prior holders have arrived while earlier leaders go on", []edit{
		{"prior_grants.go", "if b.Machine.page == nil || len(b.predecessors.active) > 0 {", "if b.Machine.page == nil {"},
		{"prior_grants.go", "latest := m.predecessorBound()", "latest := time.Duration(0)"},
	}},
	{"pages tell that grants to prior holders have arrived while the leader's own may", []edit{{"prior_grants.go", "latest = max(latest, bound.latestArrival)", ""}, {"prior_grants.go", "latest = max(latest, m.now+MaxCallDelay)", ""}}},
	{"a page tells of the prior holders that it names first", []edit{{"prior_grants.go", "next.arrivals[key] = never", "next.arrivals[key] = told"}}},
	{"the reserve of fences is not kept", []edit{{"fences.go", "if m.page == nil || m.lastFence >= m.page.Fence {", "if m.page == nil {"}}},
}
