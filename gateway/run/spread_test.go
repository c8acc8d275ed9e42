package run

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

func TestSplitGroups(t *testing.T) {
	g := NewWithT(t)
	g.Expect(splitGroups(nil, 4)).To(BeEmpty())
	g.Expect(splitGroups([]string{"a", "b", "c"}, 4)).To(Equal([][]string{{"a"}, {"b"}, {"c"}}))
	g.Expect(splitGroups([]string{"a", "b", "c", "d", "e"}, 2)).To(Equal([][]string{{"a", "b", "c"}, {"d", "e"}}))
}

func TestChooseStoreFollowers(t *testing.T) {
	g := NewWithT(t)
	l := &loop{members: map[string]member{}}
	for zone := range 6 {
		for at := range 12 {
			capacity := 0.04
			if at < 2 {
				capacity = 0.8
			}
			name := fmt.Sprintf("z%d-%d", zone, at)
			l.members[name] = member{address: name, zone: fmt.Sprint(zone), capacity: capacity}
		}
	}
	l.chooseStoreFollowers()
	g.Expect(l.storeFollowers).To(HaveLen(maxStoreFollowers))
	for vm := range l.storeFollowers {
		g.Expect(l.members[vm].capacity).To(Equal(0.8), "the VMs with the highest capacity in each zone are chosen")
	}
	l.members = map[string]member{"a": {address: "a", zone: "0"}}
	l.chooseStoreFollowers()
	g.Expect(l.storeFollowers).To(HaveKey("a"))
}

func TestCompress(t *testing.T) {
	g := NewWithT(t)
	record := []byte(fmt.Sprint(make([]int, 5000)))
	g.Expect(decompress(compress(record))).To(Equal(record))
	g.Expect(len(compress(record))).To(BeNumerically("<", len(record)/10))
	_, err := decompress([]byte("not packed"))
	g.Expect(err).To(HaveOccurred())
	_, err = decompress(compress(make([]byte, maxRecordBytes+1)))
	g.Expect(err).To(MatchError(errRecordTooLarge))
}

func TestHasLowCapacity(t *testing.T) {
	g := NewWithT(t)
	slowLink := model.Settings{Cores: 0.16, LinkMbit: 10}
	smallCPU := model.Settings{Cores: 0.32, LinkMbit: 1000}
	large := model.Settings{Cores: 0.8, LinkMbit: 200}
	g.Expect(hasLowCapacity(slowLink.Capacity(), 0)).To(BeTrue(), "transferring a large configuration over its link takes most of the lease TTL")
	g.Expect(hasLowCapacity(smallCPU.Capacity(), 0)).To(BeFalse())
	g.Expect(hasLowCapacity(smallCPU.Capacity(), smallCPU.Capacity())).To(BeFalse())
	g.Expect(hasLowCapacity(smallCPU.Capacity(), large.Capacity())).To(BeTrue())
	g.Expect(hasLowCapacity(slowLink.Capacity(), slowLink.Capacity())).To(BeFalse(), "no other daemon has a higher capacity")
	g.Expect(hasLowCapacity(0, large.Capacity())).To(BeFalse(), "the own capacity is unknown")
}

func TestCapacity(t *testing.T) {
	g := NewWithT(t)
	g.Expect(model.Settings{Cores: 0.8, LinkMbit: 25}.Capacity()).To(Equal(0.1))
	g.Expect(model.Settings{Cores: 0.3, LinkMbit: 1000}.Capacity()).To(Equal(0.3))
	g.Expect(model.Settings{Cores: 0.3}.Capacity()).To(Equal(0.3))
}

func TestEncodedPage(t *testing.T) {
	g := NewWithT(t)
	versioned := &versionedPage{page: &keys.Page{Ranges: []keys.Range{{To: model.Keys - 1}}}}
	stored, err := versioned.encoded()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(keys.Decode(stored)).NotTo(BeNil())
}

func TestRecordFor(t *testing.T) {
	g := NewWithT(t)
	l := &loop{members: map[string]member{}, recordBatch: newRecipientBatch(), record: []byte("{}")}
	now := time.Second
	g.Expect(l.recordFor("a", now)).NotTo(BeNil(), "in a small fleet the response contains the record")
	for at := range maxDirectRecipients + 1 {
		l.members[fmt.Sprint(at)] = member{}
	}
	g.Expect(l.recordFor("a", now)).To(BeNil())
	g.Expect(l.recordBatch.pending).To(HaveKey("a"), "in a large fleet the record is sent to all recipients together")
	clear(l.recordBatch.pending)
	l.recordBatch.sentAt["a"] = now
	l.recordFor("a", now+resendInterval/2)
	g.Expect(l.recordBatch.pending).To(BeEmpty(), "it was sent within resendInterval")
	l.recordFor("a", now+resendInterval)
	g.Expect(l.recordBatch.pending).To(HaveKey("a"))
}
