package role_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavacrank.example/fleet/role"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20250601")
	}
	os.Exit(m.Run())
}

const timeToLive = 10 * time.Second

// fakeLease is the store's side of one role: who holds it until when.
type fakeLease struct {
	holder int // -1: nobody.
	until  time.Duration
}

func (l *fakeLease) lapse(now time.Duration) {
	if now >= l.until {
		l.holder = -1
	}
}

// TestOneHolder: at no time do two VMs hold the role, whatever calls are lost
// or late, though each knows only its own clock.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := &fakeLease{holder: -1}
		machines := make([]*role.Machine, 3)
		for i := range machines {
			machines[i] = role.NewMachine(timeToLive, uint64(i)*977)
		}
		now := time.Duration(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond
			i := rapid.IntRange(0, len(machines)-1).Draw(t, "vm")
			now = step(t, lease, machines[i], i, now)
			checkOneHolder(t, lease, machines, now)
		}
	})
}

// step lets one VM do what it wants; the call takes time and may be lost.
func step(t *rapid.T, lease *fakeLease, machine *role.Machine, vm int, now time.Duration) time.Duration {
	action, _ := machine.Next(now)
	if action == role.Wait {
		return now
	}
	sentAt := now
	reached := rapid.Bool().Draw(t, "reached")
	answered := reached && rapid.Bool().Draw(t, "answered")
	arrives := sentAt + time.Duration(rapid.IntRange(0, 1000).Draw(t, "late"))*time.Millisecond
	lease.lapse(arrives)
	free, mine := lease.holder == -1, lease.holder == vm
	if reached && (mine && action == role.KeepAlive || free && action == role.Claim) {
		lease.holder, lease.until = vm, arrives+timeToLive
	}
	if action == role.Claim {
		machine.Claimed(sentAt, arrives, answered && free)
	} else {
		machine.KeptAlive(sentAt, arrives, answered && mine, answered && !mine)
	}
	return arrives
}

func checkOneHolder(t *rapid.T, lease *fakeLease, machines []*role.Machine, now time.Duration) {
	lease.lapse(now)
	for i, machine := range machines {
		if machine.Held(now) && lease.holder != i {
			t.Fatalf("vm %d holds the role at %s, the store's holder is %d", i, now, lease.holder)
		}
	}
}

// TestHolderRenews: a holder whose calls work keeps the role.
func TestHolderRenews(t *testing.T) {
	machine := role.NewMachine(timeToLive, 0)
	machine.Claimed(0, 0, true)
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if action, _ := machine.Next(now); action == role.KeepAlive {
			machine.KeptAlive(now, now, true, false)
		}
		if !machine.Held(now) {
			t.Fatalf("lost at %s", now)
		}
	}
}
