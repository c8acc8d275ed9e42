package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"guavacrank.example/config"
)

const (
	// keysPerService is the number of keys that the load asks for.
	keysPerService = 2000
	// maxInFlight bounds the load's requests under way.
	maxInFlight = 1024
	// probeInterval is the time between two probes of one key.
	probeInterval = 200 * time.Millisecond
	// probesPerServer is the number of probed keys of each server.
	probesPerServer = 2
)

// weights share the load among the classes by priority.
var weights = [...]int{config.Interactive: 10, config.Patient: 3, config.Bulk: 1}

// weighted is one class of the load.
type weighted struct {
	service string
	class   config.Class
	weight  int
}

// load drives requests at a rate and probes keys.
type load struct {
	configuration *config.Configuration
	pages         *history
	callers       *callers
	options       LoadOptions
	random        *rand.Rand
	classes       []weighted
	total         int
	under         chan struct{} // Holds one element for each request under way.
	running       sync.WaitGroup
}

func newLoad(configuration *config.Configuration, pages *history, c *callers, options LoadOptions) *load {
	l := &load{
		configuration: configuration,
		pages:         pages,
		callers:       c,
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, 1)),
		under:         make(chan struct{}, maxInFlight),
	}
	for _, service := range configuration.Services {
		for _, class := range service.Classes {
			weight := weights[class.Priority]
			l.classes = append(l.classes, weighted{service.Name, class, weight})
			l.total += weight
		}
	}
	return l
}

// run sends requests until the context ends, and returns once all have ended.
func (l *load) run(ctx context.Context) {
	probes := l.probes()
	begin := time.Now()
	interval := time.Second / time.Duration(l.options.Rate)
	for n := 0; ; n++ {
		timer := time.NewTimer(time.Until(begin.Add(time.Duration(n) * interval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			l.running.Wait()
			return
		case <-timer.C:
		}
		l.start(l.order(n))
		l.startProbes(probes, n, interval)
	}
}

// startProbes sends each probe once in probeInterval, spread over it.
func (l *load) startProbes(probes []order, n int, interval time.Duration) {
	period := max(int(probeInterval/interval), 1)
	for i, probe := range probes {
		if n%period == i%period {
			probe.id = fmt.Sprintf("p%d-%d", i, n)
			l.start(probe)
		}
	}
}

// start sends an order in the background; too many at once are left out.
func (l *load) start(what order) {
	select {
	case l.under <- struct{}{}:
	default:
		return
	}
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		l.callers.place(context.Background(), what) // Ends by its own deadline.
		<-l.under
	}()
}

// order returns the next caller's wish.
func (l *load) order(n int) order {
	drawn := l.random.IntN(l.total)
	chosen := l.classes[0]
	for _, candidate := range l.classes {
		if drawn < candidate.weight {
			chosen = candidate
			break
		}
		drawn -= candidate.weight
	}
	what := order{
		id:      fmt.Sprintf("r%d", n),
		service: chosen.service,
		class:   chosen.class,
		key:     fmt.Sprintf("key/%04d", l.random.IntN(keysPerService)),
	}
	if !chosen.class.Idempotent && n%2 == 0 {
		what.once = fmt.Sprintf("once-%d-%d", l.options.Seed, n)
	}
	return what
}

// probes returns orders for some keys of each server of the services divided
// by key.
func (l *load) probes() []order {
	var probes []order
	for _, service := range l.configuration.Services {
		class, ok := probeClass(service)
		if !service.DividedByKey || !ok {
			continue
		}
		owned := make(map[string]int)
		for i := range keysPerService {
			key := fmt.Sprintf("probe/%04d", i)
			owner := l.pages.ownerNow(service.Name, key)
			if owner == "" || owned[owner] == probesPerServer {
				continue
			}
			owned[owner]++
			probes = append(probes, order{service: service.Name, class: class, key: key, probe: true})
		}
	}
	return probes
}

// probeClass returns the first idempotent class.
func probeClass(service config.Service) (config.Class, bool) {
	for _, class := range service.Classes {
		if class.Idempotent {
			return class, true
		}
	}
	return config.Class{}, false
}
