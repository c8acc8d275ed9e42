package run

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

func TestSplit(t *testing.T) {
	g := NewWithT(t)
	g.Expect(splitGroups(nil, 4)).To(BeEmpty())
	g.Expect(splitGroups([]string{"a", "b", "c"}, 4)).To(Equal([][]string{{"a"}, {"b"}, {"c"}}))
	g.Expect(splitGroups([]string{"a", "b", "c", "d", "e"}, 2)).To(Equal([][]string{{"a", "b", "c"}, {"d", "e"}}))
}

func TestChooseWatchers(t *testing.T) {
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
		g.Expect(l.members[vm].capacity).To(Equal(0.8), "the strongest of each zone follow the store")
	}
	l.members = map[string]member{"a": {address: "a", zone: "0"}}
	l.chooseStoreFollowers()
	g.Expect(l.storeFollowers).To(HaveKey("a"))
}

func TestPack(t *testing.T) {
	g := NewWithT(t)
	record := []byte(fmt.Sprint(make([]int, 5000)))
	g.Expect(decompress(compress(record))).To(Equal(record))
	g.Expect(len(compress(record))).To(BeNumerically("<", len(record)/10))
	_, err := decompress([]byte("not packed"))
	g.Expect(err).To(HaveOccurred())
	_, err = decompress(compress(make([]byte, maxRecordBytes+1)))
	g.Expect(err).To(MatchError(errRecordTooLarge))
}

func TestWeak(t *testing.T) {
	g := NewWithT(t)
	slow := model.Settings{Cores: 0.16, LinkMbit: 10}
	small := model.Settings{Cores: 0.32, LinkMbit: 1000}
	strong := model.Settings{Cores: 0.8, LinkMbit: 200}
	g.Expect(hasLowCapacity(slow.Capacity(), 0)).To(BeTrue(), "a large configuration takes its link most of a lease")
	g.Expect(hasLowCapacity(small.Capacity(), 0)).To(BeFalse())
	g.Expect(hasLowCapacity(small.Capacity(), small.Capacity())).To(BeFalse())
	g.Expect(hasLowCapacity(small.Capacity(), strong.Capacity())).To(BeTrue())
	g.Expect(hasLowCapacity(slow.Capacity(), slow.Capacity())).To(BeFalse(), "there is none stronger")
	g.Expect(hasLowCapacity(0, strong.Capacity())).To(BeFalse(), "unknown")
}

func TestStrength(t *testing.T) {
	g := NewWithT(t)
	g.Expect(model.Settings{Cores: 0.8, LinkMbit: 25}.Capacity()).To(Equal(0.1))
	g.Expect(model.Settings{Cores: 0.3, LinkMbit: 1000}.Capacity()).To(Equal(0.3))
	g.Expect(model.Settings{Cores: 0.3}.Capacity()).To(Equal(0.3))
}

func TestEncodedPage(t *testing.T) {
	g := NewWithT(t)
	seen := &versionedPage{page: &keys.Page{Ranges: []keys.Range{{To: model.Keys - 1}}}}
	stored, err := seen.encoded()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(keys.Decode(stored)).NotTo(BeNil())
}

func TestRecordFor(t *testing.T) {
	g := NewWithT(t)
	l := &loop{members: map[string]member{}, recordBatch: newRecipientBatch(), record: []byte("{}"), recordVersion: 7}
	now := time.Second
	g.Expect(l.recordFor("a", now)).NotTo(BeNil(), "a small fleet gets it with the answer")
	for at := range maxDirectRecipients + 1 {
		l.members[fmt.Sprint(at)] = member{}
	}
	g.Expect(l.recordFor("a", now)).To(BeNil())
	g.Expect(l.recordBatch.pending).To(HaveKey("a"), "a large fleet gets it together")
	clear(l.recordBatch.pending)
	l.recordBatch.sentAt["a"] = now
	l.recordFor("a", now+resendInterval/2)
	g.Expect(l.recordBatch.pending).To(BeEmpty(), "it is under way")
	l.recordFor("a", now+resendInterval)
	g.Expect(l.recordBatch.pending).To(HaveKey("a"))
}
