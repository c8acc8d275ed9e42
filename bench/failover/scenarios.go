package failover

import (
	"slices"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control/controltest"
)

// counts says whether the units of a server, the owner at the start, count.
type counts func(owner string) bool

// scenario is one kind of loss or planned change.
type scenario struct {
	name    string
	bounded bool
	target  time.Duration
	// play runs it to its end; a nil result counts every unit.
	play func(*stage) counts
}

const (
	recovery  = 8 * time.Second
	outage    = 20 * time.Second
	stepPause = 2 * time.Second
)

var scenarios = []scenario{
	{"server-loss", true, servedAgain, func(s *stage) counts {
		s.server().Lost = true
		s.Run(recovery)
		return nil
	}},
	{"unchecked-server-loss", true, servedAgain, func(s *stage) counts {
		s.unchecked().Lost = true
		s.Run(recovery)
		return nil
	}},
	{"grantor-loss", true, 0, func(s *stage) counts {
		s.grantor().Kill()
		s.Run(recovery)
		return s.checking
	}},
	{"home-loss", true, servedAgain, func(s *stage) counts {
		s.VM(s.Grantor(serviceName, s.unchecked().Config.Name)).Kill()
		s.Run(recovery)
		return nil
	}},
	{"both-lost-then-declared", false, 0, bothLost},
	{"zone-loss", true, servedAgain, zoneLoss},
	{"region-cut", true, 0, func(s *stage) counts {
		s.Partition("one", "two")
		s.Run(outage)
		s.Heal()
		s.Run(recovery)
		return nil
	}},
	{"link-loss", true, 0, func(s *stage) counts {
		s.Partition(s.grantor().Name, s.server().Config.Name)
		s.Run(recovery)
		return nil
	}},
	{"drain-one-server", true, plannedMove + 2*resolution, func(s *stage) counts {
		s.drain(s.server().Config.Name)
		s.Run(recovery)
		return s.checking
	}},
	{"drain-five-servers", true, plannedMove + 2*resolution, func(s *stage) counts {
		for _, server := range s.Servers[s.trial : s.trial+5] {
			s.drain(server.Config.Name)
		}
		s.Run(recovery)
		return s.checking
	}},
	{"hand-over", true, 0, func(s *stage) counts {
		s.replace(s.grantor())
		return nil
	}},
	{"replace-12-vms", true, 0, func(s *stage) counts {
		for _, vm := range s.VMs {
			s.replace(vm)
		}
		s.Run(recovery)
		return nil
	}},
	{"store-outage", true, 0, func(s *stage) counts {
		s.storeOutage(func() {})
		s.endOutage()
		return nil
	}},
	// Without successors that the store's record authorised beforehand, the
	// keys wait for the store: the first row counts from the loss on.
	{"store-outage-20s-with-server-loss", false, 0, func(s *stage) counts {
		s.storeOutage(func() { s.server().Lost = true })
		s.endOutage()
		return nil
	}},
	{"store-outage-20s-with-server-loss.after-its-end", true, servedAgain, func(s *stage) counts {
		s.storeOutage(func() { s.server().Lost = true })
		s.ResetOutages()
		s.endOutage()
		return nil
	}},
	{"store-outage-20s-with-grantor-loss", false, 0, func(s *stage) counts {
		s.storeOutage(func() { s.grantor().Kill() })
		s.endOutage()
		return nil
	}},
	{"store-outage-20s-with-grantor-loss.after-its-end", true, servedAgain, func(s *stage) counts {
		s.storeOutage(func() { s.grantor().Kill() })
		s.ResetOutages()
		s.endOutage()
		return nil
	}},
}

// server is the trial's victim, one that checks grants.
func (s *stage) server() *controltest.Server {
	return s.Servers[s.trial%(s.deployment.servers-s.deployment.unchecked)]
}

// unchecked is the trial's victim, one that does not check grants.
func (s *stage) unchecked() *controltest.Server {
	return s.Servers[s.deployment.servers-1-s.trial%s.deployment.unchecked]
}

// grantor is the VM that holds the term of the trial's server.
func (s *stage) grantor() *controltest.VM {
	return s.VM(s.Grantor(serviceName, s.server().Config.Name))
}

func (s *stage) checking(owner string) bool { return s.Server(owner).Config.ChecksGrants }

func (s *stage) drain(name string) {
	s.Configure(func(c *config.Configuration) {
		for i := range c.Servers {
			c.Servers[i].Draining = c.Servers[i].Draining || c.Servers[i].Name == name
		}
	})
}

// replace stops a VM gracefully and starts another process in its place.
func (s *stage) replace(vm *controltest.VM) {
	vm.Stop()
	s.Run(stepPause)
	vm.Kill()
	s.Run(stepPause)
	vm.Start()
	s.Run(stepPause)
}

// storeOutage is an outage of the store with a fault in it, up to its end.
func (s *stage) storeOutage(fault func()) {
	s.Store.Down = true
	s.Run(stepPause)
	fault()
	s.Run(outage)
}

func (s *stage) endOutage() {
	s.Store.Down = false
	s.Run(recovery)
}

// bothLost measures from the operator's declaration on.
func bothLost(s *stage) counts {
	server, grantor := s.server(), s.grantor()
	server.Lost = true
	grantor.Kill()
	s.Run(recovery)
	s.ResetOutages()
	s.Configure(func(c *config.Configuration) {
		c.Lost = append(slices.Clone(c.Lost),
			config.Lost{Kind: config.LostServer, Name: server.Config.Name, Reason: "benchmark"},
			config.Lost{Kind: config.LostVM, Name: grantor.Name, Reason: "benchmark"})
	})
	s.Run(recovery)
	return nil
}

// zoneLoss counts the keys whose grantor is not lost.
func zoneLoss(s *stage) counts {
	zone := zones[s.trial%len(zones)]
	lives := make(map[string]bool)
	for _, server := range s.Servers {
		grantor := s.VM(s.Grantor(serviceName, server.Config.Name))
		lives[server.Config.Name] = grantor.Zone != zone
	}
	for _, vm := range s.VMs {
		if vm.Zone == zone {
			vm.Kill()
		}
	}
	for _, server := range s.Servers {
		server.Lost = server.Lost || server.Config.Zone == zone
	}
	s.Run(recovery)
	return func(owner string) bool { return lives[owner] }
}
