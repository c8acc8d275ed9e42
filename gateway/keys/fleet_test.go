package keys

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestPageRecordsTheFleet(t *testing.T) {
	g := NewWithT(t)
	encoded, err := (&Page{Fleet: 12}).Encode()
	g.Expect(err).NotTo(HaveOccurred())
	page, err := Decode(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Fleet).To(Equal(12))
}

func TestFleetThatHasOutgrownThePageIsWritten(t *testing.T) {
	g := NewWithT(t)
	m := NewMachine(Options{})
	m.page = &Page{Fleet: 12}
	for daemons, written := range map[int]bool{0: false, 3: false, 12: false, 15: false, 16: true, 40: true} {
		m.SetFleet(daemons, false)
		g.Expect(m.fleetOutgrown()).To(Equal(written), "%d daemons", daemons)
		if !written {
			// More than two thirds of the recorded fleet report to a new leader: the others are no majority.
			g.Expect(2 * (daemons - (2*12/3 + 1))).To(BeNumerically("<=", daemons))
		}
	}
}

func TestRecordedFleetShrinksOnlyOnceTheLeaderKnowsAllDaemons(t *testing.T) {
	g := NewWithT(t)
	m := NewMachine(Options{})
	m.page = &Page{Fleet: 12}
	m.SetFleet(3, false)
	g.Expect(m.fleetSize()).To(Equal(12))
	m.SetFleet(14, false)
	g.Expect(m.fleetSize()).To(Equal(14))
	m.SetFleet(3, true)
	g.Expect(m.fleetSize()).To(Equal(3))
	m.SetFleet(0, true)
	g.Expect(m.fleetSize()).To(Equal(12), "no daemon has reported")
}
