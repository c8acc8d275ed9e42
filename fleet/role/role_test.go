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

const leaseTTL = 10 * time.Second

// fakeLease is the lease of one role in the store.
type fakeLease struct {
	holder int // -1: none.
	until  time.Duration
}

func (l *fakeLease) expire(now time.Duration) {
	if now >= l.until {
		l.holder = -1
	}
}

// TestOneHolder checks that at most one VM holds the role at any time, even if
// calls are lost or delayed. Each VM knows only its own clock.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := &fakeLease{holder: -1}
		machines := make([]*role.Machine, 3)
		for i := range machines {
			machines[i] = role.NewMachine(leaseTTL, uint64(i)*977)
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

// step performs the next action of one VM. The call takes some time and may be
// lost.
func step(t *rapid.T, lease *fakeLease, machine *role.Machine, vm int, now time.Duration) time.Duration {
	action, _ := machine.Next(now)
	if action == role.Wait {
		return now
	}
	sentAt := now
	reached := rapid.Bool().Draw(t, "reached")
	answered := reached && rapid.Bool().Draw(t, "answered")
	arrives := sentAt + time.Duration(rapid.IntRange(0, 1000).Draw(t, "late"))*time.Millisecond
	lease.expire(arrives)
	free, mine := lease.holder == -1, lease.holder == vm
	if reached && (mine && action == role.KeepAlive || free && action == role.Claim) {
		lease.holder, lease.until = vm, arrives+leaseTTL
	}
	if action == role.Claim {
		machine.Claimed(sentAt, arrives, answered && free)
	} else {
		machine.KeptAlive(sentAt, arrives, answered && mine, answered && !mine)
	}
	return arrives
}

func checkOneHolder(t *rapid.T, lease *fakeLease, machines []*role.Machine, now time.Duration) {
	lease.expire(now)
	for i, machine := range machines {
		if machine.Held(now) && lease.holder != i {
			t.Fatalf("VM %d holds the role at %s, but the holder in the store is %d", i, now, lease.holder)
		}
	}
}

// TestHolderRenews checks that a holder whose calls succeed keeps the role.
func TestHolderRenews(t *testing.T) {
	machine := role.NewMachine(leaseTTL, 0)
	machine.Claimed(0, 0, true)
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if action, _ := machine.Next(now); action == role.KeepAlive {
			machine.KeptAlive(now, now, true, false)
		}
		if !machine.Held(now) {
			t.Fatalf("role lost at %s", now)
		}
	}
}
