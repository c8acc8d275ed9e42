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
func listOf(t *testing.T, version kvstore.Version, ids ...string) *peer.ServerList {
	return listOfServers(t, version, serversNamed(ids...)...)
}

func listOfServers(t *testing.T, version kvstore.Version, servers ...model.Server) *peer.ServerList {
	text, err := json.Marshal(servers)
	if err != nil {
		t.Fatal(err)
	}
	return &peer.ServerList{Position: kvstore.Position{Era: 1, Version: version}, Compressed: compress(text)}
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
	l := newTestLoop(t, 0)
	l.applyServerList(listOf(t, 50, "a", "b"))
	l.applyServerList(listOf(t, 40, "a", "b", "left"))
	g.Expect(listedIDs(l)).To(ConsistOf("a", "b"))
	l.applyServerList(listOf(t, 50, "a"))
	g.Expect(listedIDs(l)).To(ConsistOf("a"), "it is as recent")
}

func TestLeaderThatHasNotReadTheStoreDoesNotTakeBackItsMembersLists(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.campaign = leader.New(leader.Options{})
	l.applyServerList(listOf(t, 50, "a"))
	response := peer.ReportResponse{Leading: true, List: listOf(t, 40, "a", "left")}
	l.applyLeaderResponse(&response)
	g.Expect(listedIDs(l)).To(ConsistOf("a"))
	present := newTestLoop(t, 0)
	present.applyServerList(listOf(t, 40, "a", "left"))
	present.applyServerList(listOf(t, 60, "a", "b"))
	response = peer.ReportResponse{Leading: true, Changes: present.changesSince(40)}
	l.applyLeaderResponse(&response)
	g.Expect(listedIDs(l)).To(ConsistOf("a", "b"), "its changes lead from both lists to its present one")
	g.Expect(l.list.Base().Version).To(BeEquivalentTo(60))
}

// recordOfServers decodes the records of servers that are encoded as the model's type.
type recordOfServers struct{ port.Records }

func (recordOfServers) Server(entry kvstore.Entry) (server model.Server, err error) {
	err = json.Unmarshal(entry.Value, &server)
	return server, err
}

// readOf returns a read of the servers' records at a version of the store.
func readOf(t *testing.T, version kvstore.Version, servers ...model.Server) serversRead {
	read := serversRead{position: kvstore.Position{Era: 1, Version: version}}
	for _, server := range servers {
		value, err := json.Marshal(server)
		if err != nil {
			t.Fatal(err)
		}
		read.entries = append(read.entries, kvstore.Entry{Key: server.ID, Value: value, Era: 1})
	}
	return read
}

func TestLateReadOfTheStoreDoesNotReplaceANewerListOfTheLeader(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.records = recordOfServers{}
	l.applyServerList(listOf(t, 50, "a"))
	read := readOf(t, 40, serversNamed("a", "left")...)
	read.apply(l)
	g.Expect(listedIDs(l)).To(ConsistOf("a"))
	read.position.Version = 60
	read.apply(l)
	g.Expect(listedIDs(l)).To(ConsistOf("a", "left"))
}

func TestChangesThatLeadToAnotherListAreFollowedByTheCompleteOne(t *testing.T) {
	g := NewWithT(t)
	l, present := newRestorationLoop(t), newTestLoop(t, 0)
	l.campaign = leader.New(leader.Options{})
	l.applyServerList(listOf(t, 50, "a", "only here"))
	present.applyServerList(listOf(t, 50, "a"))
	present.applyServerList(listOf(t, 60, "a", "x"))
	response := peer.ReportResponse{Leading: true, Changes: present.changesSince(50)}
	l.applyLeaderResponse(&response)
	g.Expect(listedIDs(l)).To(ConsistOf("a", "x", "only here"))
	g.Expect(l.newReport().ListBase).To(BeZero(), "the next report asks for what is right")
	g.Expect(l.listOutdated(l.clock())).To(BeTrue())
	l.applyServerList(present.completeList())
	g.Expect(listedIDs(l)).To(ConsistOf("a", "x"))
	g.Expect(l.listOutdated(l.clock())).To(BeFalse())

	present.applyServerList(listOf(t, 65, "x"))
	overtaken := peer.ReportResponse{Leading: true, Changes: present.changesSince(60)}
	present.applyServerList(listOf(t, 70))
	l.applyServerChanges(present.changesSince(60))
	l.applyLeaderResponse(&overtaken)
	g.Expect(listedIDs(l)).To(BeEmpty(), "the announcement was newer")
	g.Expect(l.list.Position().Version).To(BeEquivalentTo(70))
}

func TestListPassedOnNamesTheStateThatItWasReadFrom(t *testing.T) {
	g := NewWithT(t)
	follower := newTestLoop(t, 0)
	follower.applyServerList(listOf(t, 50, "a"))
	first := follower.completeList()
	g.Expect(first.Position).To(Equal(kvstore.Position{Era: 1, Version: 50}))
	follower.applyServerList(listOf(t, 70, "a"))
	again := follower.completeList()
	g.Expect(again.Position.Version).To(BeEquivalentTo(70), "it was read again without a change")
	g.Expect(first.Position.Version).To(BeEquivalentTo(50), "it may be being sent")
}

func TestDaemonWithoutListsOfALeaderReadsTheStoreItself(t *testing.T) {
	g := NewWithT(t)
	l := newTestLoop(t, 0)
	l.applyServerList(listOf(t, 50, "a"))
	l.serversRelayedAt.Store(int64(l.clock() - time.Minute))
	l.applyServerList(listOf(t, 40, "a"))
	g.Expect(l.mayReadServers()).To(BeTrue(), "the list that came is older than the one in force")
}
