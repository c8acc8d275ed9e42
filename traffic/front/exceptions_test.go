package front

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/route"
)

var _ = Describe("a settings exception", func() {
	const small = 1 << 10
	settings := func(change func(*config.Defaults)) config.Defaults {
		changed := config.DefaultDefaults()
		change(&changed)
		return changed
	}

	It("for a class applies to its requests and to no others", func() {
		server := newFakeServer(respond(okAnswer))
		f := newFleet(Options{Sharing: limit.Home}, "a")
		f.publish(func() *route.Service {
			s := dividedByKey(testServer(server, "a"), 7)
			s.ClassSettings = map[string]config.Defaults{"order": settings(func(d *config.Defaults) { d.MaxBodyBytes = small })}
			return s
		})
		body := strings.Repeat("x", small+1)
		refused := f.vms["a"].send("POST", "/v1/cards/k", body, HeaderClass, "order")
		Expect([]any{refused.status, refused.verdict}).To(Equal([]any{413, "not_run"}))
		Expect(f.vms["a"].send("POST", "/v1/cards/k", body, HeaderClass, "look").status).To(Equal(200))
	})

	It("for a server applies to its queue", func() {
		own := settings(func(d *config.Defaults) { d.QueueLimit = 7 })
		server := testServer(newFakeServer(respond(okAnswer)), "a")
		server.Settings = &own
		f := newFleet(Options{Sharing: limit.Home}, "a")
		f.publish(func() *route.Service { return dividedByKey(server, 7) })
		member := f.vms["a"].current().services["cards"].members[server]
		Expect(member.limits.queue).To(Equal(7))
	})
})
