package keys_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

var _ = Describe("Page", func() {
	holder := func(id string, fence uint64) keys.Holder {
		return keys.Holder{Incarnation: model.Incarnation{ID: id, Born: 7}, Address: id + ":1", Fence: fence}
	}
	page := &keys.Page{
		Fence:        9,
		Writer:       keys.Leader{VM: "a", Incarnation: "x", Address: "a:1"},
		Predecessors: []keys.Leader{{VM: "b", Incarnation: "y", Address: "b:1"}},
		WriteID:      3,
		Unfenced: []keys.UnfencedKeys{
			{Incarnation: model.Incarnation{ID: "i-9", Born: 7}, Address: "i-9:1", To: 65535},
			{Incarnation: model.Incarnation{ID: "i-1", Born: 7}, Address: "i-1:1", From: 100, To: 200},
		},
		Ranges: []keys.Range{
			{From: 0, To: 99, Owner: holder("i-1", 4)},
			{From: 100, To: 65535, Owner: holder("i-2", 9), Prior: []keys.Holder{holder("i-1", 4), holder("i-3", 2)}},
		},
	}

	It("survives encoding and decoding", func() {
		stored, err := page.Encode()
		Expect(err).NotTo(HaveOccurred())
		read, err := keys.Decode(stored)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(page))
	})

	It("becomes the next page by applying their difference", func() {
		next := &keys.Page{
			Fence:   12,
			Writer:  keys.Leader{VM: "b", Incarnation: "z", Address: "b:1"},
			WriteID: 1,
			Unfenced: []keys.UnfencedKeys{
				{Incarnation: model.Incarnation{ID: "i-9", Born: 7}, Address: "i-9:1", To: 65535},
			},
			Ranges: []keys.Range{
				{From: 0, To: 99, Owner: holder("i-1", 4)},
				{From: 100, To: 199, Owner: holder("i-4", 12), Prior: []keys.Holder{holder("i-2", 9)}},
				{From: 200, To: 65535, Owner: holder("i-2", 9)},
			},
		}
		change := keys.Diff(page, next)
		Expect(change.Ranges).To(HaveLen(2))
		sent, err := change.Encode()
		Expect(err).NotTo(HaveOccurred())
		read, err := keys.DecodeChange(sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Apply(page)).To(Equal(next))
		_, err = read.Apply(&keys.Page{})
		Expect(err).To(HaveOccurred(), "the change does not fit another page")
	})

	It("finds the range of a key", func() {
		Expect(page.Find(99).Owner.ID).To(Equal("i-1"))
		Expect(page.Find(100).Owner.ID).To(Equal("i-2"))
		Expect(page.Find(65535).Owner.ID).To(Equal("i-2"))
		Expect((&keys.Page{}).Find(1)).To(BeNil())
	})

	DescribeTable("rejects an invalid stored page",
		func(text, cause string) {
			_, err := keys.Decode([]byte(text))
			Expect(err).To(MatchError(ContainSubstring(cause)))
		},
		Entry("invalid JSON", `{`, "ownership page"),
		Entry("a row too short", `{"fence":1,"servers":[{"id":"a"}],"ranges":[[0,0]]}`, "range 0"),
		Entry("half a pair", `{"fence":1,"servers":[{"id":"a"}],"ranges":[[0,0,1,0]]}`, "range 0"),
		Entry("an unknown server", `{"fence":1,"servers":[{"id":"a"}],"ranges":[[0,1,1]]}`, "range 0"),
		Entry("a start above the next", `{"fence":1,"servers":[{"id":"a"}],"ranges":[[9,0,1],[5,0,1]]}`, "range 0"),
		Entry("a gap at the beginning", `{"fence":1,"servers":[{"id":"a"}],"ranges":[[9,0,1]]}`, "does not continue"),
		Entry("a fence above the page's", `{"fence":1,"servers":[{"id":"a"}],"ranges":[[0,0,2]]}`, "above the page's"),
		Entry("unfenced keys of an unknown server", `{"fence":1,"servers":[{"id":"a"}],"unfenced":[[1,0,5]],"ranges":[[0,0,1]]}`, "unfenced keys 0"),
		Entry("unfenced keys that end before they begin", `{"fence":1,"servers":[{"id":"a"}],"unfenced":[[0,0,5],[0,6,5]],"ranges":[[0,0,1]]}`, "unfenced keys 1"),
		Entry("unfenced keys beyond the last", `{"fence":1,"servers":[{"id":"a"}],"unfenced":[[0,0,65536]],"ranges":[[0,0,1]]}`, "unfenced keys 0"),
		Entry("a key beyond the last", `{"fence":1,"servers":[{"id":"a"}],"ranges":[[0,0,1],[70000,0,1]]}`, "range 0"),
	)
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"fence":1,"servers":[{"id":"a","born":2}],"ranges":[[0,0,1],[5,0,1,0,1]]}`))
	f.Add([]byte(`{"fence":1,"servers":[{"id":"a","born":2}],"unfenced":[[0,3,9]],"ranges":[[0,0,1]]}`))
	f.Fuzz(func(t *testing.T, stored []byte) {
		page, err := keys.Decode(stored)
		if err != nil {
			return
		}
		again, err := page.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := keys.Decode(again); err != nil {
			t.Fatalf("an encoded page can't be decoded: %v", err)
		}
	})
}

func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"fence":1,"servers":[{"id":"a","born":2}],"ranges":[[0,4,0,1],[5,65535,0,1,0,1]]}`))
	f.Fuzz(func(t *testing.T, sent []byte) {
		change, err := keys.DecodeChange(sent)
		if err != nil {
			return
		}
		if page, err := change.Apply(&keys.Page{}); err == nil && page.Check() != nil {
			t.Fatal("an invalid page was accepted")
		}
	})
}
