package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
)

func TestADaemonIsConfirmedNoLaterThanItsSource(t *testing.T) {
	g := NewWithT(t)
	source, daemon := newRelayLoop(t, 0), newRelayLoop(t, 0)
	source.configuration, daemon.configuration = &model.Configuration{Version: 3}, &model.Configuration{Version: 3}
	now := source.clock()
	g.Expect(source.confirmedAgeMS()).To(Equal(neverConfirmed))
	source.confirmByStore(400 * time.Millisecond)
	g.Expect(source.confirmedAgeMS()).To(BeEquivalentTo(400))

	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: neverConfirmed}, now)
	g.Expect(daemon.confirmedAgeMS()).To(Equal(neverConfirmed), "the source knows nothing")
	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: 400, ConfigurationVersion: 4}, now)
	g.Expect(daemon.confirmedAgeMS()).To(Equal(neverConfirmed), "the source has a newer version")
	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: 400, ConfigurationVersion: 3}, now-100*time.Millisecond)
	g.Expect(daemon.confirmedAgeMS()).To(BeEquivalentTo(500))
	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: 900, ConfigurationVersion: 3}, now)
	g.Expect(daemon.confirmedAgeMS()).To(BeEquivalentTo(500), "an earlier confirmation takes nothing back")
}

func TestAResponseThatNamesNoVersionConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	source, daemon := newRelayLoop(t, 1), newRelayLoop(t, 0)
	source.configuration, daemon.configuration = &model.Configuration{Version: 4}, &model.Configuration{Version: 3}
	source.confirmByStore(0)
	response := source.startupResponse(&peer.Report{ConfigurationVersion: 3, Source: "leader"})
	daemon.confirmByPeer(&response, daemon.clock())
	g.Expect(daemon.confirmedAgeMS()).To(Equal(neverConfirmed))
}
