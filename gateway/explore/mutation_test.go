package explore_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/explore"
)

var (
	findFaults    = flag.Int("find", -1, "search with up to this number of faults, print the result and end")
	findShare     = flag.Int("find-share", 1, "share of the middle faults that each search takes")
	playFile      = flag.String("play", "", "play the schedule in this file, print the rule that it breaks and end")
	findDaemons   = flag.Int("find-daemons", 0, "daemons of the world of each search")
	findTime      = flag.Duration("find-time", 5*time.Minute, "longest time of each search")
	mutationFault = flag.Int("mutation-faults", 2, "greatest number of faults in the search for a mutation")
	allMutations  = flag.Bool("mutations", false, "search for all mutations and print a table")
	mutationNamed = flag.String("mutation", "", "search only for mutations whose name contains this")
)

// heldRules are the rules that no schedule of two faults breaks without a mutation. Those of
// late releases and of servers that a leader could not reach are broken by testdata/known, and
// with more faults that of lives.
var heldRules = []explore.Rule{explore.Holders, explore.Fences, explore.Lives, explore.Releases, explore.Work, explore.Owned}

func TestMain(m *testing.M) {
	flag.Parse()
	if *playFile != "" {
		os.Exit(play(*playFile))
	}
	if *findFaults < 0 {
		os.Exit(m.Run())
	}
	bounds := explore.DefaultBounds()
	bounds.Faults, bounds.Time, bounds.States, bounds.MemoryBytes = *findFaults, *findTime, 1<<30, 4<<30
	bounds.Rules, bounds.Share, bounds.Daemons = heldRules, *findShare, *findDaemons
	if bounds.Daemons > 0 {
		bounds.Rules = []explore.Rule{explore.Leaders}
	}
	if bounds.Faults > 2 {
		bounds.Rules = slices.DeleteFunc(slices.Clone(heldRules), func(r explore.Rule) bool { return r == explore.Lives })
	}
	result, err := explore.Explore(context.Background(), bounds, nil)
	if err == nil {
		err = json.NewEncoder(os.Stdout).Encode(result)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// play plays the schedule in a file, prints the rule that it breaks, if any, and returns the
// exit status.
func play(name string) int {
	file, err := os.Open(name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer file.Close()
	schedule, err := explore.Read(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	broken, err := schedule.Play()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if broken != nil {
		fmt.Print(broken.Rule)
	}
	return 0
}

// keysFolder is where gateway/keys is.
const keysFolder = "../keys"

// apply returns a mutated copy of each file that a mutation edits.
func (m mutation) apply(g *WithT) map[string]string {
	files := make(map[string]string)
	for _, e := range m.edits {
		source, known := files[e.file]
		if !known {
			content, err := os.ReadFile(filepath.Join(keysFolder, e.file))
			g.Expect(err).NotTo(HaveOccurred())
			source = string(content)
		}
		g.Expect(strings.Count(source, e.old)).To(Equal(1), "%s: %s: %q", m.name, e.file, e.old)
		files[e.file] = strings.Replace(source, e.old, e.new, 1)
	}
	return files
}

// overlay writes the mutated files and returns the file that tells a build of them.
func (m mutation) overlay(g *WithT, folder string) string {
	replace := make(map[string]string)
	for name, source := range m.apply(g) {
		original, err := filepath.Abs(filepath.Join(keysFolder, name))
		g.Expect(err).NotTo(HaveOccurred())
		replace[original] = filepath.Join(folder, filepath.Base(name))
		g.Expect(os.WriteFile(replace[original], []byte(source), 0o600)).To(Succeed())
	}
	content, err := json.Marshal(map[string]any{"Replace": replace})
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(folder, "overlay.json")
	g.Expect(os.WriteFile(file, content, 0o600)).To(Succeed())
	return file
}

// fleetDaemons is the number of daemons of the world in which mutations of gateway/succession
// are searched for.
const fleetDaemons = 6

// daemons returns the number of daemons of the world in which a mutation is searched for.
func (m mutation) daemons() int {
	if strings.Contains(m.edits[0].file, "succession") {
		return fleetDaemons
	}
	return 0
}

// build builds this package with the mutation and returns the program.
func (m mutation) build(t *testing.T) string {
	g, folder := NewWithT(t), t.TempDir()
	binary := filepath.Join(folder, "explore.test")
	output, err := exec.Command("go", "test", "-c", "-overlay", m.overlay(g, folder), "-o", binary, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	return binary
}

// search searches with the mutation and up to a number of faults.
func (m mutation) search(t *testing.T, faults int) explore.Result {
	g := NewWithT(t)
	output, err := exec.Command(m.build(t), fmt.Sprint("-find=", faults), fmt.Sprint("-find-time=", *findTime), fmt.Sprint("-find-share=", *findShare), fmt.Sprint("-find-daemons=", m.daemons())).Output()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	var result explore.Result
	g.Expect(json.Unmarshal(output, &result)).To(Succeed())
	return result
}

// TestMutationsApply fails when a mending has moved, so that its mutation has to follow.
func TestMutationsApply(t *testing.T) {
	g := NewWithT(t)
	for _, m := range mutations {
		g.Expect(m.apply(g)).NotTo(BeEmpty())
	}
}

// TestFindsAMutation shows that a search can fail.
func TestFindsAMutation(t *testing.T) {
	g := NewWithT(t)
	result := mutations[0].search(t, 1)
	g.Expect(result.Verdict).To(Equal(explore.Broken))
	g.Expect(result.Violation.Rule).To(Equal(explore.Holders))
}

// TestFindsMutations prints the table of docs/design/exploration.md. It takes hours at the
// most, and only runs when -mutations asks for it.
func TestFindsMutations(t *testing.T) {
	if !*allMutations {
		return
	}
	for _, m := range mutations {
		if !strings.Contains(m.name, *mutationNamed) {
			continue
		}
		r := m.search(t, *mutationFault)
		rule := "not found"
		if r.Violation != nil {
			rule = fmt.Sprintf("%s, %d faults", r.Violation.Rule, r.Faults)
		}
		fmt.Printf("| %s | %s | %d | %.1f |\n", m.name, rule, r.States, r.Seconds)
		if *mutationNamed != "" {
			fmt.Println(text(NewWithT(t), r.Schedule))
		}
	}
}

// Guards against a successor that counts daemons which the earlier leader never knew
// (docs/incidents/2026-12-joined-daemons.md): the mended schedule breaks the rule without the
// mending.
func TestJoinedDaemonsBreakTheRuleWithoutTheRecord(t *testing.T) {
	g := NewWithT(t)
	at := slices.IndexFunc(mutations, func(m mutation) bool { return m.name == "daemons that are not recorded count as having left a leader" })
	output, err := exec.Command(mutations[at].build(t), "-play", "testdata/mended/joined-daemons.txt").Output()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(output)).To(Equal(string(explore.Leaders)))
}
