package run

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// serversNamed returns servers of the service "s" with the given IDs.
func serversNamed(ids ...string) []model.Server {
	servers := make([]model.Server, len(ids))
	for at, id := range ids {
		servers[at] = model.Server{ID: id, Service: "s", Address: id + ":1"}
	}
	return servers
}

// listOf returns a complete list that was read from the store at a version.
func listOf(t *testing.T, source string, version kvstore.Version, ids ...string) *peer.ServerList {
	list, err := compressList(source, 1, kvstore.Position{Era: 1, Version: version}, serversNamed(ids...))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// listedIDs returns the IDs of the listed servers.
func listedIDs(l *loop) []string {
	var ids []string
	for _, server := range l.servers.ofService("s") {
		ids = append(ids, server.ID)
	}
	return ids
}

func TestLateListOfAnEarlierLeaderDoesNotBringBackAServer(t *testing.T) {
	g := NewWithT(t)
	l := newRelayLoop(t, 0)
	l.applyServerList(listOf(t, "present", 50, "a", "b"), 0)
	l.applyServerList(listOf(t, "earlier", 40, "a", "b", "left"), 0)
	g.Expect(listedIDs(l)).To(ConsistOf("a", "b"))
	l.applyServerList(listOf(t, "next", 50, "a"), 0)
	g.Expect(listedIDs(l)).To(ConsistOf("a"), "it is as recent")
}

func TestLeaderThatHasNotReadTheStoreDoesNotTakeBackItsMembersLists(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.campaign = leader.New(leader.Options{})
	l.applyServerList(listOf(t, "earlier", 50, "a"), 0)
	response := peer.ReportResponse{Leading: true, Source: "present", Revision: 1, Full: true, ReadFrom: kvstore.Position{Era: 1, Version: 40}, Servers: serversNamed("a", "left")}
	l.applyLeaderResponse(&response)
	g.Expect(listedIDs(l)).To(ConsistOf("a"))
	response = peer.ReportResponse{Leading: true, Source: "present", Base: 1, Revision: 2, ReadFrom: kvstore.Position{Era: 1, Version: 60}, Servers: serversNamed("b"), Removed: []model.Incarnation{{ID: "left"}}}
	l.applyLeaderResponse(&response)
	g.Expect(listedIDs(l)).To(ConsistOf("a", "b"), "its changes apply to the list that it sent")
}

// recordOfServers decodes the records of servers that are encoded as the model's type.
type recordOfServers struct{ port.Records }

func (recordOfServers) Server(entry kvstore.Entry) (server model.Server, err error) {
	err = json.Unmarshal(entry.Value, &server)
	return server, err
}

func TestLateReadOfTheStoreDoesNotReplaceANewerListOfTheLeader(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.records = recordOfServers{}
	l.applyServerList(listOf(t, "leader", 50, "a"), 0)
	read := serversRead{position: kvstore.Position{Era: 1, Version: 40}}
	for _, server := range serversNamed("a", "left") {
		value, err := json.Marshal(server)
		g.Expect(err).NotTo(HaveOccurred())
		read.entries = append(read.entries, kvstore.Entry{Key: server.ID, Value: value, Era: 1})
	}
	read.apply(l)
	g.Expect(listedIDs(l)).To(ConsistOf("a"))
	read.position.Version = 60
	read.apply(l)
	g.Expect(listedIDs(l)).To(ConsistOf("a", "left"))
}

func TestChangesOfAnotherListAreNotMixedIntoTheReceivedOne(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.campaign = leader.New(leader.Options{})
	l.applyServerList(listOf(t, "present", 50, "a"), 0)
	response := peer.ReportResponse{Leading: true, Source: "earlier", Base: 10, Revision: 12, ReadFrom: kvstore.Position{Era: 1, Version: 60}, Servers: serversNamed("x")}
	l.applyLeaderResponse(&response)
	g.Expect(listedIDs(l)).To(ConsistOf("a"))
	g.Expect(l.relay.source).To(Equal("present"), "the next report asks for what is missing")

	changes := &peer.ServerChanges{Source: "present", Base: 1, Revision: 3, ReadFrom: kvstore.Position{Era: 1, Version: 70}, Removed: []model.Incarnation{{ID: "a"}}}
	l.applyServerChanges(changes)
	overtaken := peer.ReportResponse{Leading: true, Source: "present", Base: 1, Revision: 2, ReadFrom: kvstore.Position{Era: 1, Version: 65}, Servers: serversNamed("a")}
	l.applyLeaderResponse(&overtaken)
	g.Expect(listedIDs(l)).To(BeEmpty(), "the announcement was newer")
	g.Expect(l.relay.seenRevision).To(BeEquivalentTo(3))
}

func TestListPassedOnNamesTheStateThatItWasReadFrom(t *testing.T) {
	g := NewWithT(t)
	follower := newRelayLoop(t, 0)
	follower.applyServerList(listOf(t, "leader", 50, "a"), 0)
	passedOn, err := follower.newestList()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(passedOn.ReadFrom).To(Equal(kvstore.Position{Era: 1, Version: 50}))

	reader := newRelayLoop(t, 1)
	reader.servers.position = kvstore.Position{Era: 1, Version: 60}
	first, err := reader.newestList()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.ReadFrom.Version).To(BeEquivalentTo(60))
	reader.servers.position.Version = 70
	again, err := reader.newestList()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.ReadFrom.Version).To(BeEquivalentTo(70), "it was read again without a change")
	g.Expect(first.ReadFrom.Version).To(BeEquivalentTo(60), "it may be being sent")
}

func TestDaemonWithoutListsOfALeaderReadsTheStoreItself(t *testing.T) {
	g := NewWithT(t)
	l := newRelayLoop(t, 0)
	l.applyServerList(listOf(t, "present", 50, "a"), 0)
	l.serversRelayedAt.Store(int64(l.clock() - time.Minute))
	l.applyServerList(listOf(t, "stale", 40, "a"), 0)
	g.Expect(l.mayReadServers()).To(BeTrue(), "the list that came is older than the one in force")
}
