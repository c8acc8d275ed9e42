package explore_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/explore"
)

// bounded returns the bounds of a search whose verdict does not depend on time.
func bounded(faults, states int) explore.Bounds {
	bounds := explore.DefaultBounds()
	bounds.Faults, bounds.States, bounds.Rules = faults, states, heldRules
	return bounds
}

func run(t *testing.T, bounds explore.Bounds) explore.Result {
	result, err := explore.Explore(context.Background(), bounds, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return result
}

// text returns a schedule as text, for a failure's message.
func text(g *WithT, schedule *explore.Schedule) string {
	if schedule == nil {
		return ""
	}
	written := &strings.Builder{}
	g.Expect(schedule.Write(written)).To(Succeed())
	return written.String()
}

func TestNoScheduleOfOneFaultBreaksARule(t *testing.T) {
	g := NewWithT(t)
	bounds := bounded(1, 1_000_000)
	bounds.Rules = explore.Rules()
	result := run(t, bounds)
	g.Expect(result.Verdict).To(Equal(explore.Explored), text(g, result.Schedule))
	g.Expect(result.Fair).To(BeNumerically(">", 0))
}

// TestNoScheduleOfTwoFaultsBreaksARule searches the greater part of what
// `guavacrankctl explore -faults 2` searches.
func TestNoScheduleOfTwoFaultsBreaksARule(t *testing.T) {
	g := NewWithT(t)
	result := run(t, bounded(2, 250_000))
	g.Expect(result.Verdict).To(Equal(explore.Bounded), text(g, result.Schedule))
	g.Expect(result.States).To(Equal(250_000))
}

// TestNoScheduleLetsALeaderGoOnThatIsTakenForStopped has daemons that are added, removed and
// cut off together with a leader.
func TestNoScheduleLetsALeaderGoOnThatIsTakenForStopped(t *testing.T) {
	g := NewWithT(t)
	bounds := bounded(2, 150_000)
	bounds.Daemons, bounds.Rules = fleetDaemons, []explore.Rule{explore.Leaders}
	result := run(t, bounds)
	g.Expect(result.Verdict).To(Equal(explore.Bounded), text(g, result.Schedule))
}

func TestThreeVMsAndThreeServers(t *testing.T) {
	g := NewWithT(t)
	bounds := bounded(1, 1_000_000)
	bounds.VMs, bounds.Servers, bounds.Rules = 3, 3, explore.Rules()
	result := run(t, bounds)
	g.Expect(result.Verdict).To(Equal(explore.Explored), text(g, result.Schedule))
}

func TestSameBoundsGiveTheSameResult(t *testing.T) {
	g := NewWithT(t)
	bounds := bounded(2, 20_000)
	first, second := run(t, bounds), run(t, bounds)
	for _, result := range []*explore.Result{&first, &second} {
		result.Seconds, result.StepsRate = 0, 0
	}
	g.Expect(second).To(Equal(first))
	bounds.Seed++
	g.Expect(run(t, bounds).Steps).NotTo(Equal(first.Steps), "another seed, another order")
}

// stateBytes is the memory that a state counts for.
const stateBytes = 40

func TestMemoryBoundsASearch(t *testing.T) {
	g := NewWithT(t)
	bounds := bounded(2, 1_000_000)
	bounds.MemoryBytes = 1 << 18
	result, fewer := run(t, bounds), run(t, bounded(1, 1_000_000))
	g.Expect(result.Verdict).To(Equal(explore.Bounded))
	g.Expect(fewer.Verdict).To(Equal(explore.Explored))
	g.Expect(result.States-fewer.States).To(BeNumerically("<=", (bounds.MemoryBytes+stateBytes-1)/stateBytes), "searches with fewer faults forget their states")
}

func TestBadBoundsNameTheFlag(t *testing.T) {
	g := NewWithT(t)
	for name, change := range map[string]func(b *explore.Bounds){
		"vms":     func(b *explore.Bounds) { b.VMs = 4 },
		"servers": func(b *explore.Bounds) { b.Servers = 0 },
		"daemons": func(b *explore.Bounds) { b.Daemons = 31 },
		"faults":  func(b *explore.Bounds) { b.Faults = -1 },
		"share":   func(b *explore.Bounds) { b.Share = 0 },
		"depth":   func(b *explore.Bounds) { b.Depth = 0 },
		"states":  func(b *explore.Bounds) { b.States = 0 },
		"memory":  func(b *explore.Bounds) { b.MemoryBytes = 1 },
		"for":     func(b *explore.Bounds) { b.Time = -1 },
		"rules":   func(b *explore.Bounds) { b.Rules = []explore.Rule{"holder"} },
	} {
		bounds := explore.DefaultBounds()
		change(&bounds)
		_, err := explore.Explore(context.Background(), bounds, nil)
		var bad *explore.BoundError
		g.Expect(errors.As(err, &bad)).To(BeTrue(), name)
		g.Expect(bad.Name).To(Equal(name))
		g.Expect(err.Error()).To(HavePrefix("-" + name + ": "))
	}
}

// readFile reads the schedule in a file.
func readFile(g *WithT, name string) *explore.Schedule {
	file, err := os.Open(name)
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	schedule, err := explore.Read(file)
	g.Expect(err).NotTo(HaveOccurred(), name)
	return schedule
}

// schedules returns the files with schedules in a folder of testdata.
func schedules(g *WithT, folder string) []string {
	files, err := filepath.Glob(filepath.Join("testdata", folder, "*.txt"))
	g.Expect(err).NotTo(HaveOccurred())
	return files
}

// TestKnownSchedules plays the schedules that break a rule today. When one does not any more,
// its file belongs into testdata/mended.
func TestKnownSchedules(t *testing.T) {
	g := NewWithT(t)
	files := schedules(g, "known")
	for _, name := range files {
		schedule := readFile(g, name)
		broken, err := schedule.Play()
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(broken).NotTo(BeNil(), name+" breaks no rule any more: move it to testdata/mended")
		g.Expect(broken.Rule).To(Equal(schedule.Rule), name)
	}
}

// TestMendedSchedules plays the schedules that broke a rule once. One whose events are not
// possible any more, because the leaders decide otherwise, breaks none.
func TestMendedSchedules(t *testing.T) {
	g := NewWithT(t)
	for _, name := range schedules(g, "mended") {
		broken, err := readFile(g, name).Play()
		var impossible *explore.PlayError
		if errors.As(err, &impossible) {
			t.Logf("%s: %v", name, err)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(broken).To(BeNil(), name)
	}
}

func TestAScheduleIsReadAsItWasWritten(t *testing.T) {
	g := NewWithT(t)
	const quiet = "vms 2\nservers 2\nrule holders\n2 unlist 0\n6 hold-up 17\n30 end\n"
	schedule, err := explore.Read(strings.NewReader(quiet))
	g.Expect(err).NotTo(HaveOccurred())
	written := text(g, schedule)
	g.Expect(written).To(ContainSubstring("hold-up 17: release of 0 to 32767"))
	again, err := explore.Read(strings.NewReader(written))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(schedule))
}

func TestAScheduleOfAWorldWithDaemonsIsReadAsItWasWritten(t *testing.T) {
	g := NewWithT(t)
	schedule := readFile(g, "testdata/mended/joined-daemons.txt")
	g.Expect(schedule.Size.Daemons).To(Equal(6))
	again, err := explore.Read(strings.NewReader(text(g, schedule)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(schedule))
}

func TestADamagedScheduleNamesTheLine(t *testing.T) {
	g := NewWithT(t)
	const head = "vms 2\nservers 2\nrule holders\n"
	for damaged, message := range map[string]string{
		head + "2 unlist\n3 end\n":             "schedule, line 4: an event has one subject",
		head + "# a comment\n2 vanish 0\n":     `schedule, line 5: "vanish" is no event`,
		head + "x unlist 0\n":                  `schedule, line 4: "x" is no number`,
		head + "2 unlist x\n":                  `schedule, line 4: "x" is no number`,
		head + "2 unlist 0\n2 unlist 1\n":      "schedule, line 5: number 2 does not rise",
		head + "3 end\n4 unlist 0\n":           "schedule, line 5: follows the end",
		head + "2 unlist 0\n":                  `schedule, line 5: no line "NUMBER end"`,
		head + "unlist\n":                      "schedule, line 4: too short",
		"vms 2\nservers -1\n":                  `schedule, line 2: "-1" is no number`,
		"vms 9\nservers 2\n1 end\n":            "schedule, line 3: -vms: 9 is not from 1 to 3",
		"vms 2\nservers 2\nrule hold\n1 end\n": `schedule, line 3: "hold" is no rule`,
	} {
		_, err := explore.Read(strings.NewReader(damaged))
		var format *explore.FormatError
		g.Expect(errors.As(err, &format)).To(BeTrue(), damaged)
		g.Expect(err).To(MatchError(message))
	}
}

func TestAnEventThatIsNotPossibleIsNamed(t *testing.T) {
	g := NewWithT(t)
	schedule, err := explore.Read(strings.NewReader("vms 2\nservers 2\nrule holders\n0 thaw 0\n1 end\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = schedule.Play()
	var impossible *explore.PlayError
	g.Expect(errors.As(err, &impossible)).To(BeTrue())
	g.Expect(err).To(MatchError(HavePrefix("event 0: thaw 0 is not possible at ")))
}
