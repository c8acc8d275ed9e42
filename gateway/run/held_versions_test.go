package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/view"
)

// In a large fleet the next report may be seconds or minutes away.
func TestDaemonThatMissedAPageOrAConfigurationReportsSoonAfterTheNextAnnouncement(t *testing.T) {
	leader := newTestLoop(t, 1)
	leader.pages = map[string]*versionedPage{"s": {page: page(keys.Stamp{Era: 1, Number: 9})}}
	leader.configuration, leader.origin = &model.Configuration{Version: 4}, view.Origin{At: leader.clock()}
	atOnce := leader.heldVersions(leader.clock())
	later := leader.heldVersions(leader.clock() + configurationTransit)
	for name, c := range map[string]struct {
		held          *peer.HeldVersions
		page          keys.Stamp
		configuration uint64
		reports       bool
	}{
		"has both":              {later, keys.Stamp{Era: 1, Number: 9}, 4, false},
		"has later ones":        {later, keys.Stamp{Era: 1, Number: 10}, 5, false},
		"lacks the page":        {later, keys.Stamp{Era: 1, Number: 8}, 4, true},
		"lacks all pages":       {later, keys.Stamp{}, 4, true},
		"lacks a configuration": {later, keys.Stamp{Era: 1, Number: 9}, 3, true},
		"it is under way":       {atOnce, keys.Stamp{Era: 1, Number: 9}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			daemon := newTestLoop(t, 1)
			daemon.nextReport = daemon.clock() + time.Minute
			daemon.pages = make(map[string]*versionedPage)
			if c.page != (keys.Stamp{}) {
				daemon.pages["s"] = &versionedPage{page: page(c.page)}
			}
			daemon.configuration = &model.Configuration{Version: c.configuration}
			spreadReceived{&peer.SpreadRequest{Held: c.held}}.apply(daemon)
			g.Expect(daemon.nextReport <= daemon.clock()+reportJitter).To(Equal(c.reports))
		})
	}
}
