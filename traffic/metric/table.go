package metric

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"guavacrank.example/traffic/verdict"
)

// minute is the length of a histogram's window.
const minute = time.Minute

// Table holds the counts of every service and class. It is an expvar.Var.
type Table struct {
	classes   sync.Map // classKey to *Class.
	mu        sync.Mutex
	rotatedAt time.Time
}

type classKey struct{ service, class string }

// Class holds the counts of one class of a service. It is safe for concurrent use.
type Class struct {
	stripes  []stripe
	next     atomic.Uint32
	outcomes sync.Map // outcome to *atomic.Int64.
	received atomic.Int64
	sent     atomic.Int64

	mu sync.Mutex // Not taken while a request is recorded.
	// last holds the values of the last full minute, all those up to its end.
	last, all histograms
}

type outcome struct {
	verdict verdict.Verdict
	code    verdict.Code
}

// Class returns the counts of a class. Callers keep the pointer.
func (t *Table) Class(service, class string) *Class {
	key := classKey{service, class}
	if value, ok := t.classes.Load(key); ok {
		return value.(*Class)
	}
	value, _ := t.classes.LoadOrStore(key, &Class{stripes: newStripes()})
	return value.(*Class)
}

// Record counts one request.
func (c *Class) Record(v verdict.Verdict, code verdict.Code, o Observation) {
	c.stripes[c.next.Add(1)%uint32(len(c.stripes))].record(o)
	c.received.Add(o.RequestBytes)
	c.sent.Add(o.ResponseBytes)
	key := outcome{v, code}
	count, ok := c.outcomes.Load(key)
	if !ok {
		count, _ = c.outcomes.LoadOrStore(key, new(atomic.Int64))
	}
	count.(*atomic.Int64).Add(1)
}

// Rotate ends the current minute when it is over.
func (t *Table) Rotate(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.rotatedAt) < minute {
		return
	}
	t.rotatedAt = now
	t.classes.Range(func(_, value any) bool {
		value.(*Class).rotate()
		return true
	})
}

// rotate ends the current minute.
func (c *Class) rotate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind := range kinds {
		c.last.reset(kind)
		for i := range c.stripes {
			c.stripes[i].moveTo(&c.last, kind)
		}
		c.all.merge(kind, &c.last)
	}
}

// Histograms are the quantiles of one kind of value.
type Histograms struct {
	LastMinute Quantiles `json:"last_minute"`
	All        Quantiles `json:"all"`
}

// Report is the state of one class.
type Report struct {
	// Outcomes counts requests by "verdict/code".
	Outcomes      map[string]int64      `json:"outcomes"`
	RequestBytes  int64                 `json:"request_bytes"`
	ResponseBytes int64                 `json:"answer_bytes"`
	Distributions map[string]Histograms `json:"distributions"`
}

// Report returns the state of the class.
func (c *Class) Report() Report {
	r := Report{
		Outcomes:      make(map[string]int64),
		RequestBytes:  c.received.Load(),
		ResponseBytes: c.sent.Load(),
		Distributions: make(map[string]Histograms, kinds),
	}
	c.outcomes.Range(func(key, count any) bool {
		o := key.(outcome)
		r.Outcomes[o.verdict.String()+"/"+string(o.code)] = count.(*atomic.Int64).Load()
		return true
	})
	for kind, name := range kindNames {
		r.Distributions[name] = c.histograms(kind)
	}
	return r
}

// histograms returns the quantiles of one kind.
func (c *Class) histograms(kind int) Histograms {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all histograms
	all.merge(kind, &c.all)
	for i := range c.stripes {
		c.stripes[i].addTo(&all, kind)
	}
	return Histograms{LastMinute: quantiles(c.last[kind]), All: quantiles(all[kind])}
}

// Reports returns the state of every class, by service and class.
func (t *Table) Reports() map[string]map[string]Report {
	reports := make(map[string]map[string]Report)
	t.classes.Range(func(key, value any) bool {
		k := key.(classKey)
		if reports[k.service] == nil {
			reports[k.service] = make(map[string]Report)
		}
		reports[k.service][k.class] = value.(*Class).Report()
		return true
	})
	return reports
}

// String implements expvar.Var.
func (t *Table) String() string {
	text, err := json.Marshal(t.Reports())
	if err != nil {
		panic("metric: " + err.Error()) // A Report holds nothing that fails to encode.
	}
	return string(text)
}
