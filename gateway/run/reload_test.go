package run

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
)

// idleStore and idleRecords are as much as a gateway that is not started needs.
type (
	idleStore   struct{ port.Store }
	idleRecords struct{ port.Records }
)

// ConfigurationKey implements port.Records.
func (idleRecords) ConfigurationKey() string { return "op/config" }

// newIdleGateway returns a gateway that is not started, and what ends its log and returns it.
func newIdleGateway(t *testing.T) (*Gateway, func() string) {
	var output bytes.Buffer
	settings := &model.Settings{VM: "vm", MemoryBytes: 64 << 20, Bounds: model.Bounds{GracePeriod: 10 * time.Second, MinLeaseTTL: time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := newGateway(ctx, Options{Settings: settings, Store: idleStore{}, Records: idleRecords{}, Output: &output})
	return g, func() string {
		g.shared.log.Close(time.Second)
		return output.String()
	}
}

func TestReloadedGracePeriodIsThatOfTheStop(t *testing.T) {
	g := NewWithT(t)
	gateway, log := newIdleGateway(t)
	updated := *gateway.options.Settings
	updated.Bounds.GracePeriod = 20 * time.Second
	gateway.reload(&updated)
	start := time.Now()
	g.Expect(gateway.stopLimit(start)).To(Equal(start.Add(20*time.Second - stopMargin)))
	g.Expect(log()).To(And(ContainSubstring(`"bounds_changed":true`), ContainSubstring(`"needs_restart":false`)))
}

func TestReloadedBoundsThatAreReadAtTheStartNeedARestart(t *testing.T) {
	for name, change := range map[string]func(*model.Bounds){
		"longest grant":      func(b *model.Bounds) { b.MaxGrantTTL++ },
		"shortest lease":     func(b *model.Bounds) { b.MinLeaseTTL++ },
		"configuration time": func(b *model.Bounds) { b.ConfigurationTime++ },
	} {
		t.Run(name, func(t *testing.T) {
			gateway, log := newIdleGateway(t)
			updated := *gateway.options.Settings
			change(&updated.Bounds)
			gateway.reload(&updated)
			NewWithT(t).Expect(log()).To(ContainSubstring(`"needs_restart":true`))
		})
	}
}
