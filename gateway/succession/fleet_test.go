package succession_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/succession"
	"guavacrank.example/kvstore"
)

// members returns reporters with these addresses that joined at a time.
func members(joinedAt time.Duration, addresses ...string) func() []succession.Reporter {
	return func() (all []succession.Reporter) {
		for _, address := range addresses {
			all = append(all, succession.Reporter{Address: address, JoinedAt: joinedAt})
		}
		return all
	}
}

func TestFleetRecordIsReadFirst(t *testing.T) {
	g := NewWithT(t)
	var f succession.Fleet
	read, write := f.Ready(time.Second, true, members(0, "a"))
	g.Expect(read).To(BeTrue())
	g.Expect(write).To(BeNil())
	read, _ = f.Ready(2*time.Second, true, members(0, "a"))
	g.Expect(read).To(BeFalse(), "the call is pending")
	f.StepFailed()
	read, _ = f.Ready(3*time.Second, true, members(0, "a"))
	g.Expect(read).To(BeTrue())
	f.StepRead([]string{"a"}, 5, 1)
	g.Expect(f.Known()).To(BeTrue())
	read, write = f.Ready(4*time.Second, true, members(0, "a"))
	g.Expect(read).To(BeFalse())
	g.Expect(write).To(BeNil(), "it names all members")
}

// Guards against a system that has no leader for long enough to write its first record: where
// leases are long, a leader counts on its majority between two renewals also in calm.
func TestAllDaemonsCountWhereThereIsNoFleetRecord(t *testing.T) {
	g := NewWithT(t)
	var f succession.Fleet
	g.Expect(f.Has("a")).To(BeFalse(), "there may be one")
	f.StepRead(nil, 0, 0)
	g.Expect(f.Has("a")).To(BeTrue())
	_, write := f.Ready(10*time.Second, true, members(0, "a", "b"))
	g.Expect(write).NotTo(BeNil())
	g.Expect([]bool{f.Has("a"), f.Has("c")}).To(Equal([]bool{true, false}), "a later leader may find the record")
	g.Expect(f.MayHave("c")).To(BeTrue())
}

func TestFleetRecordIsWrittenForNewAndGoneDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		present   []string
		joinedAt  time.Duration
		mayWrite  bool
		daemons   []string
		unchanged bool
	}{
		"new":                      {present: []string{"f", "b", "a", "c", "d", "e"}, mayWrite: true, daemons: []string{"a", "b", "c", "d", "e", "f"}},
		"just heard of":            {present: []string{"a", "b", "c", "d", "e", "f"}, joinedAt: 9500 * ms, mayWrite: true, unchanged: true},
		"one of five is gone":      {present: []string{"a", "b", "c", "d"}, mayWrite: true, unchanged: true},
		"two of five are gone":     {present: []string{"a", "b", "c"}, mayWrite: true, daemons: []string{"a", "b", "c"}},
		"new, with a predecessor":  {present: []string{"a", "b", "c", "d", "e", "f"}, unchanged: true},
		"all, none new, none gone": {present: []string{"e", "d", "c", "b", "a"}, mayWrite: true, unchanged: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var f succession.Fleet
			f.StepRead([]string{"a", "b", "c", "d", "e"}, 5, 1)
			_, write := f.Ready(10*time.Second, c.mayWrite, members(c.joinedAt, c.present...))
			if c.unchanged {
				g.Expect(write).To(BeNil())
				return
			}
			g.Expect(write.Daemons).To(Equal(c.daemons))
			g.Expect(write.Expected).To(BeEquivalentTo(5))
		})
	}
}

func TestDaemonCountsOnlyIfEveryPossibleRecordNamesIt(t *testing.T) {
	g := NewWithT(t)
	var f succession.Fleet
	f.StepRead([]string{"a", "b"}, 5, 1)
	_, write := f.Ready(10*time.Second, true, members(0, "b", "c"))
	has := func(address string) bool { return f.Has(address) }
	g.Expect([]bool{has("a"), has("b"), has("c")}).To(Equal([]bool{false, true, false}), "it is not known whether the write was executed")
	g.Expect([]bool{f.MayHave("a"), f.MayHave("b"), f.MayHave("c"), f.MayHave("d")}).To(Equal([]bool{true, true, true, false}))
	f.StepFailed()
	g.Expect([]bool{has("a"), has("b"), has("c")}).To(Equal([]bool{false, true, false}), "the store may be away now")
	g.Expect(f.Known()).To(BeTrue())
	read, _ := f.Ready(20*time.Second, true, members(0, "b", "c"))
	g.Expect(read).To(BeTrue())
	f.StepRead([]string{"a", "b"}, 5, 1)
	g.Expect(has("a")).To(BeFalse(), "it may be executed later")
	f.StepRead([]string{"b", "c"}, 6, 1)
	g.Expect([]bool{has("a"), has("b"), has("c")}).To(Equal([]bool{false, true, true}))
	g.Expect(f.MayHave("a")).To(BeFalse())
	g.Expect(write.Daemons).To(Equal([]string{"b", "c"}))
	f.StepWritten(11*time.Second, []string{"b", "c", "d"}, 7, 1)
	g.Expect(has("d")).To(BeTrue())
	g.Expect(f.Size()).To(Equal(3))
}

func TestWritesOfTheFleetRecordAreFew(t *testing.T) {
	g := NewWithT(t)
	var f succession.Fleet
	f.StepRead(nil, 0, 1)
	writes, address := 0, []string{}
	for now := time.Duration(0); now < time.Minute; now += 50 * ms {
		address = append(address, now.String()) // One joins at each step.
		if _, write := f.Ready(now, true, members(0, address...)); write != nil {
			writes++
			f.StepWritten(now, write.Daemons, kvstore.Version(writes), 1)
		}
	}
	g.Expect(writes).To(And(BeNumerically(">", 20), BeNumerically("<=", 31)))
	confirmed := writes
	for now := time.Duration(0); now < time.Minute; now += 50 * ms {
		if _, write := f.Ready(time.Minute+now, true, members(0, "z"+now.String())); write != nil {
			f.StepFailed()
			f.StepRead(nil, kvstore.Version(confirmed), 1)
			writes++
		}
	}
	g.Expect(writes).To(BeNumerically("<=", confirmed+4), "writes without an answer are limited, too")
}
