package limit

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestDivideNeverExceedsTheDeclaredConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(6, 500).Draw(t, "connections")
		slots := rapid.IntRange(1, 50).Draw(t, "slots")
		vms := rapid.IntRange(1, 17000).Draw(t, "vms")
		shares := Divide(connections, slots, vms)
		if sum := 2*shares.Home + vms*shares.Direct + controlConnections; sum > connections {
			t.Fatalf("%+v adds up to %d of %d", shares, sum, connections)
		}
		if shares.Home < 1 {
			t.Fatalf("no connection for the home")
		}
	})
}

func TestDivideExamples(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Divide(130, 6, 12)).To(Equal(Shares{Home: 6, Direct: 6}))
	g.Expect(Divide(55, 4, 12)).To(Equal(Shares{Home: 4, Direct: 3}))
}

func TestAdaptive(t *testing.T) {
	g := NewWithT(t)
	a := NewAdaptive(4)
	for range 10 {
		a.RecordShed()
	}
	g.Expect(a.Current()).To(Equal(1))
	for range 100 {
		a.RecordSuccess()
	}
	g.Expect(a.Current()).To(Equal(4))
	a.SetMax(2)
	g.Expect(a.Current()).To(Equal(2))
	a.SetMax(6)
	g.Expect(a.Current()).To(Equal(6), "a limit that was at its maximum follows it")
	a.SetMax(0)
	g.Expect(a.Current()).To(Equal(0))
}
