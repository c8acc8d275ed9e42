package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
)

var _ = Describe("an exception for a service", func() {
	It("changes the planner settings of that service only", func() {
		m := New(Options{Self: "v1", Region: "r1", Zone: "r1a", Incarnation: "1"})
		hold := config.Assignment{Field: "hold_time", Value: int64(time.Hour)}
		m.Step(0, ConfigurationAccepted{Revision: 1, Configuration: &config.Configuration{
			Defaults: config.DefaultDefaults(),
			Services: []config.Service{
				{Name: "cards", DividedByKey: true, Shards: 4},
				{Name: "recipes", DividedByKey: true, Shards: 4},
			},
			Exceptions: []config.Exception{{Service: "cards", Set: []config.Assignment{hold}, Reason: "slow warm-up"}},
		}})
		Expect(m.service("cards").planSettings().HoldTime).To(Equal(time.Hour))
		Expect(m.service("recipes").planSettings().HoldTime).To(Equal(config.DefaultDefaults().HoldTime))
	})
})
