package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/cmd/internal/command"
	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/event"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

const (
	token     = "a-token-of-some-length"
	verhaegen = "../../../examples/verhaegen.yaml"
)

// source is a daemon on which every revision is in force everywhere at once.
type source struct {
	keeper *revision.Repository
	// silent says that one VM never gets a revision.
	silent bool
}

func (s *source) Status() operator.Status {
	record, _ := s.keeper.Current(context.Background())
	inForce, vms := 12, []operator.VMStatus{{Name: "entry-1", Alive: true, Revision: record.Revision}}
	if s.silent {
		inForce = 11
		vms = append(vms, operator.VMStatus{Name: "entry-9"})
	}
	return operator.Status{
		VM: "entry-1", Region: "flanders", Zone: "flanders-a", Ready: true,
		Revision: record.Revision, FleetRevision: record.Revision, InForce: inForce, VMCount: 12,
		VMs:     vms,
		Servers: []operator.ServerStatus{{Name: "cat-10", Service: "catalogue", Units: 23}},
	}
}

func (s *source) Owners(service string) (operator.Owners, bool) {
	units := []operator.Owner{{Unit: 256, Key: "design/1", Server: "cat-1", Epoch: 4, Servable: true, Grantor: "entry-2", Term: 3}}
	return operator.Owners{Service: service, DividedByKey: true, PageVersion: 9, Units: units}, service == "catalogue"
}

func (s *source) Explain(service, key string) (operator.Explanation, bool) {
	owner := operator.Owner{Unit: 7, Server: "cat-1", Epoch: 4, Servable: true, Grantor: "entry-2", Term: 3}
	return operator.Explanation{Service: service, Key: key, DividedByKey: true, Owner: owner, Cause: "hash of the key"}, service == "catalogue"
}

func (s *source) Events(from uint64, _ int) []operator.LoggedEvent {
	if from > 1 {
		return nil
	}
	return []operator.LoggedEvent{{Cursor: 1, Number: event.LossDeclared, Cause: "burnt"}}
}

func (s *source) NextEvent() uint64 { return 2 }

func (s *source) Configuration() (config.Revision, *config.Configuration) { return 0, nil }

// result is what a run of the command left.
type result struct {
	status command.Status
	out    string
	err    string
}

// run runs guavacrankctl with a token and an operator's name.
func run(address string, args ...string) result {
	var out, errs bytes.Buffer
	variables := map[string]string{"GUAVACRANK_OPERATOR": address, "GUAVACRANK_TOKEN": token, "USER": "an"}
	env := &command.Environment{
		Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs,
		Getenv: func(name string) string { return variables[name] },
	}
	status := command.Main(context.Background(), env, args)
	return result{status: status, out: out.String(), err: errs.String()}
}

// deafAddress returns an address that is in use, so that nobody else takes it,
// and on which nothing listens: the near end of a connection.
func deafAddress() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	connection, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	DeferCleanup(connection.Close)
	return connection.LocalAddr().String()
}

var _ = Describe("guavacrankctl", func() {
	var store *memstore.Store
	var daemon *source
	var address, file string
	BeforeEach(func() {
		store = memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		// The keeper gives up at its first pause, with the store out from there on.
		goesOut := func(context.Context, time.Duration) error {
			store.SetFaults(memstore.Faults{Outage: true})
			return context.DeadlineExceeded
		}
		keeper := revision.New(revision.Options{Store: store, Wait: goesOut})
		daemon = &source{keeper: keeper}
		server, err := operator.New(operator.Options{Token: token, Source: daemon, Revisions: keeper})
		Expect(err).NotTo(HaveOccurred())
		web := httptest.NewServer(server.Handler())
		DeferCleanup(web.Close)
		address = web.Listener.Addr().String()
		file = filepath.Join(GinkgoT().TempDir(), "c.yaml")
	})
	// write puts the example into the operator's file, with edits.
	write := func(head string, edits ...string) {
		GinkgoHelper()
		data, err := os.ReadFile(verhaegen)
		Expect(err).NotTo(HaveOccurred())
		text := head + strings.NewReplacer(edits...).Replace(string(data))
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	}

	It("takes an operator from get to apply, conflict and rollback", func() {
		Expect(run(address, "apply", verhaegen, "-reason", "first").status).To(Equal(command.Done))
		got := run(address, "get")
		Expect(got.out).To(HavePrefix("# revision: 1\n# Maison"))
		write("# revision: 1\n", "retry_budget: 10%", "retry_budget: 5%")

		planned := run(address, "diff", file)
		Expect(planned.status).To(Equal(command.Done), planned.err)
		Expect(planned.out).To(Equal("~ defaults: retry_budget: 10% -> 5%\n"))
		applied := run(address, "apply", file, "-reason", "fewer retries")
		Expect(applied.status).To(Equal(command.Done), applied.err)
		Expect(applied.out).To(ContainSubstring("revision 2 is in force on 12 of 12 VMs"))
		Expect(run(address, "get").out).To(HavePrefix("# revision: 2\n# Maison"))

		late := run(address, "apply", "-reason", "late", file)
		Expect(late.status).To(Equal(command.Conflict))
		Expect(late.err).To(ContainSubstring("revision 2 is in force instead of 1: applied by an at"))
		Expect(late.err).To(ContainSubstring("(fewer retries)\n  ~ defaults: retry_budget: 10% -> 5%"))

		Expect(run(address, "rollback", "-to", "1", "-reason", "oops").status).To(Equal(command.Done))
		history := run(address, "history").out
		Expect(strings.Count(history, "\n")).To(Equal(4))
		Expect(history).To(ContainSubstring("rollback to revision 1: oops"))
	})

	It("names the VMs on which a revision is not in force in time", func() {
		daemon.silent = true
		applied := run(address, "apply", verhaegen, "-reason", "first", "-wait", "1ms")
		Expect(applied.status).To(Equal(command.Done))
		Expect(applied.out).To(ContainSubstring("in force on 11 of 12 VMs so far; not yet on entry-9\n"))
	})

	It("drains, undrains, declares lost, and shows the state", func() {
		Expect(run(address, "apply", verhaegen, "-reason", "first").status).To(Equal(command.Done))
		drained := run(address, "drain", "cat-3", "-reason", "kernel")
		Expect(drained.out).To(ContainSubstring("~ server cat-3: draining: false -> true"))
		Expect(run(address, "undrain", "cat-3", "-reason", "done").status).To(Equal(command.Done))
		Expect(run(address, "drain", "cat-99", "-reason", "r").err).To(Equal("guavacrankctl: server cat-99: is not declared\n"))
		Expect(run(address, "declare-lost", "zone", "flanders-b", "-reason", "fire").status).To(Equal(command.Done))
		Expect(run(address, "declare-lost", "planet", "mars", "-reason", "r").status).To(Equal(command.Failed))
		status := run(address, "status").out
		Expect(status).To(ContainSubstring("revision 4 in force on 12 of 12 VMs"))
		Expect(status).To(ContainSubstring("does-not-check-grants"))
		Expect(run(address, "owners", "catalogue").out).To(ContainSubstring(`"design/1" (hot)`))
		Expect(run(address, "explain", "catalogue", "design/1").out).To(ContainSubstring("hash of the key"))
		Expect(run(address, "explain", "prints", "design/1").status).To(Equal(command.Failed))
		Expect(run(address, "events").out).To(ContainSubstring("405 warn loss-declared: burnt"))
	})

	It("prints JSON of every read", func() {
		Expect(run(address, "apply", verhaegen, "-reason", "first").status).To(Equal(command.Done))
		for _, args := range [][]string{
			{"status"}, {"owners", "catalogue"}, {"explain", "catalogue", "k"}, {"events"}, {"history"}, {"get"},
			{"validate", verhaegen}, {"diff", verhaegen}, {"diff", verhaegen, verhaegen},
		} {
			got := run(address, append(args, "-output", "json")...)
			Expect(got.status).To(Equal(command.Done), got.err)
			Expect(json.Valid([]byte(got.out))).To(BeTrue(), got.out)
		}
	})

	It("exits with 4 while the outcome is unknown, and settles it by the change's identifier", func() {
		store.SetFaults(memstore.Faults{LostReplies: memstore.LostCalls{Count: 1, Prefix: kvstore.ConfigKey}})
		lost := run(address, "apply", verhaegen, "-reason", "first", "-change-id", "x")
		Expect(lost.status).To(Equal(command.Unknown), lost.err)
		Expect(lost.err).To(ContainSubstring("-change-id x"))
		store.SetFaults(memstore.Faults{})
		settled := run(address, "apply", verhaegen, "-reason", "first", "-change-id", "x", "-output", "json")
		Expect(settled.status).To(Equal(command.Done), settled.err)
		Expect(settled.out).To(ContainSubstring(`"revision": 1`))
	})

	It("names every fault of a file and exits with 1", func() {
		write("", "deadline: 800ms", "deadline: 800", "slots: 6", "slots: 0")
		checked := run(address, "validate", file)
		Expect(checked.status).To(Equal(command.Failed))
		Expect(checked.out).To(ContainSubstring(file + ":19: services[0].classes[0].deadline: "))
		Expect(strings.Count(checked.out, "\n")).To(BeNumerically(">", 30))
		Expect(run(address, "apply", file, "-reason", "r").err).To(ContainSubstring(file + ":19: services[0].classes[0].deadline: "))
		settings := run(address, "validate", "-settings", "../../../examples/settings.yaml")
		Expect(settings.status).To(Equal(command.Done), settings.out)
	})

	It("exits with 2 on bad use, in one line", func() {
		for _, args := range [][]string{
			{"nonsense"}, {"status", "-colour"}, {"owners"}, {"diff"}, {"explain", "catalogue"},
			{"apply", verhaegen}, {"apply", verhaegen, "-reason", "r", "-base", "x"}, {"rollback", "-reason", "r"},
			{"status", "-output", "xml"}, {"status", "-address", "localhost:20301"},
		} {
			got := run(address, args...)
			Expect(got.status).To(Equal(command.BadUse), strings.Join(args, " "))
			Expect(strings.Count(got.err, "\n")).To(Equal(1), got.err)
		}
		Expect(run(address).status).To(Equal(command.BadUse))
	})

	It("exits with 1 and one line when nothing answers", func() {
		gone := deafAddress()
		for _, args := range [][]string{{"status"}, {"events", "-follow"}, {"apply", verhaegen, "-reason", "r"}} {
			got := run(gone, args...)
			Expect(got.status).To(Equal(command.Failed))
			Expect(got.err).To(Equal("guavacrankctl: no daemon answers at " + gone + ": connect: connection refused\n"))
		}
	})

	It("shows help with examples for every command", func() {
		table := run(address, "help")
		Expect(table.status).To(Equal(command.Done))
		for _, name := range []string{
			"validate", "diff", "apply", "get", "history", "rollback", "status", "owners", "explain",
			"drain", "undrain", "declare-lost", "events", "trace",
		} {
			Expect(table.out).To(ContainSubstring("  " + name + " "))
			help := run(address, name, "-help")
			Expect(help.status).To(Equal(command.Done))
			Expect(help.out).To(ContainSubstring("\n  guavacrankctl " + name))
			Expect(help.out).To(ContainSubstring("  -output format"))
		}
	})
})
