package run

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/peer"
)

// A large fleet must not depend on its leader alone, nor may all of its daemons read
// the store themselves while no leader responds. The leader therefore assigns to each
// daemon the store followers of its availability zone. They offer each new
// configuration to the daemon, and the daemon asks them for what it lacks while the
// leader does not respond.

const (
	// offersPerVM is the number of store followers that offer a configuration to each
	// daemon.
	offersPerVM = 2
	// unassignedReportDelay is the longest time until the next report of a daemon of a
	// large fleet that has no assignment yet.
	unassignedReportDelay = time.Second
	// offerDelay gives the leader's own update time to arrive, so that most offers
	// need no data.
	offerDelay = 150 * time.Millisecond
)

// distributionPlan is the leader's assignment of daemons to store followers.
type distributionPlan struct {
	followersOf  map[string][]string // By zone: followers to ask, in order.
	recipientsOf map[string][]string // By follower: daemons to offer configurations to.
}

// planDistribution assigns each daemon to the store followers of its zone, or to all
// followers if its zone has none. The leader is asked last and offers nothing, because
// its loss is what the plan is for.
func planDistribution(members map[string]member, followers map[string]bool, leader string) distributionPlan {
	plan := distributionPlan{followersOf: make(map[string][]string), recipientsOf: make(map[string][]string)}
	byZone := make(map[string][]member)
	var all []member
	for vm, m := range members {
		byZone[m.zone] = append(byZone[m.zone], m)
		if followers[vm] {
			all = append(all, m)
		}
	}
	for zone, inZone := range byZone {
		local := slices.DeleteFunc(slices.Clone(all), func(m member) bool { return m.zone != zone })
		if len(local) == 0 {
			local = all
		}
		plan.followersOf[zone] = rankFollowers(local, leader)
		plan.assignRecipients(inZone, plan.followersOf[zone], leader)
	}
	return plan
}

// rankFollowers returns addresses by descending capacity, with the leader at the end.
func rankFollowers(followers []member, leader string) []string {
	sort.Slice(followers, func(i, j int) bool {
		if isLeader := followers[i].address == leader; isLeader != (followers[j].address == leader) {
			return !isLeader
		}
		return followers[i].ranksBefore(followers[j])
	})
	addresses := make([]string, len(followers))
	for at, m := range followers {
		addresses[at] = m.address
	}
	return addresses
}

// assignRecipients distributes the daemons of a zone evenly among its followers.
func (p *distributionPlan) assignRecipients(inZone []member, followers []string, leader string) {
	followers = slices.DeleteFunc(slices.Clone(followers), func(address string) bool { return address == leader })
	sort.Slice(inZone, func(i, j int) bool { return inZone[i].address < inZone[j].address })
	for at, m := range inZone {
		for offer := range min(offersPerVM, len(followers)) {
			follower := followers[(at+offer)%len(followers)]
			if follower != m.address {
				p.recipientsOf[follower] = append(p.recipientsOf[follower], m.address)
			}
		}
	}
}

// of returns the part of the plan that a daemon needs.
func (p *distributionPlan) of(address, zone string) peer.Distribution {
	return peer.Distribution{Followers: p.followersOf[zone], Recipients: p.recipientsOf[address]}
}

// fingerprint identifies a distribution; that of an empty one is zero.
func fingerprint(d peer.Distribution) uint64 {
	if len(d.Followers)+len(d.Recipients) == 0 {
		return 0
	}
	hash := fnv.New64a()
	for _, address := range slices.Concat(d.Followers, []string{""}, d.Recipients) {
		hash.Write([]byte(address + "\n")) // Never fails.
	}
	return hash.Sum64()
}

// settled says whether the daemons have had time to report to this new leader. Until
// then its view of the fleet is incomplete: it assigns the daemons that have no
// assignment, and the others keep theirs.
func (l *loop) settled(now time.Duration) bool { return now-l.leadingSince >= activeMemberTimeout }

// distributionFor returns the assignment of a report's sender if it differs from the
// one that it has.
func (l *loop) distributionFor(report *peer.Report, now time.Duration) *peer.Distribution {
	if !l.settled(now) && report.Distribution != 0 {
		return nil
	}
	assigned := l.plan.of(report.Address, report.Zone)
	if fingerprint(assigned) == report.Distribution {
		return nil
	}
	return &assigned
}

// reportIfUnassigned makes a daemon of a large fleet that has no assignment report soon.
func (l *loop) reportIfUnassigned(now time.Duration) {
	if l.vms.Load() > maxDirectRecipients && fingerprint(l.distribution) == 0 {
		l.nextReport = min(l.nextReport, now+jitter(unassignedReportDelay))
	}
}

// mayFollowStore says whether the sender of a report watches the store.
func (l *loop) mayFollowStore(report *peer.Report, now time.Duration) bool {
	if !l.settled(now) && len(l.peersAtElection) > 0 {
		return report.FollowsStore
	}
	return l.storeFollowers[report.VM] || len(l.members) <= maxStoreFollowers
}

// offerConfiguration offers the configuration in force to the assigned daemons and
// sends it to those that lack it.
func (l *loop) offerConfiguration() {
	version, record, position := l.configuration.Version, l.record, l.recordPosition
	compressed := sync.OnceValue(func() *peer.ConfigurationRecord {
		return &peer.ConfigurationRecord{Compressed: compress(record), Position: position}
	})
	for _, address := range l.distribution.Recipients {
		go func() {
			sleep(l.ctx, offerDelay)
			response, err := l.peers.Spread(l.ctx, address, &peer.SpreadRequest{Offer: version})
			if err == nil && response.Lacking {
				_, err = l.peers.Spread(l.ctx, address, &peer.SpreadRequest{Record: compressed()})
			}
			if err != nil {
				l.log.Event(event.UpdateNotSent, err.Error(), zap.String("peer", address), zap.Uint64("configuration", version))
			}
		}()
	}
}

// chooseStoreFollowers selects the daemons that watch the store: those with the
// highest capacity in each availability zone, taking one per zone in turn.
func (l *loop) chooseStoreFollowers() {
	byZone := make(map[string][]string)
	vms := make([]string, 0, len(l.members))
	for vm := range l.members {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return l.members[vms[i]].ranksBefore(l.members[vms[j]]) })
	var zones []string
	for _, vm := range vms {
		zone := l.members[vm].zone
		if byZone[zone] == nil {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], vm)
	}
	slices.SortFunc(zones, strings.Compare)
	l.storeFollowers = make(map[string]bool, maxStoreFollowers)
	l.plan = distributionPlan{}
	for rank := 0; len(l.storeFollowers) < min(maxStoreFollowers, len(vms)); rank++ {
		for _, zone := range zones {
			if rank < len(byZone[zone]) && len(l.storeFollowers) < maxStoreFollowers {
				l.storeFollowers[byZone[zone][rank]] = true
			}
		}
	}
	if len(l.members) > maxDirectRecipients {
		l.plan = planDistribution(l.members, l.storeFollowers, l.self.Address)
	}
}
