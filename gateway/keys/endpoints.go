package keys

import (
	"cmp"
	"time"
)

// endpoint is an ID at an address. Its calls reach one of the server's lives under that ID.
type endpoint struct{ id, address string }

func compareEndpoints(x, y endpoint) int {
	return cmp.Or(cmp.Compare(x.id, y.id), cmp.Compare(x.address, y.address))
}

// endpoint returns where calls to a holder go.
func (h Holder) endpoint() endpoint { return endpoint{h.ID, h.Address} }

// endpoint returns where calls to the server go.
func (u UnfencedKeys) endpoint() endpoint { return endpoint{u.ID, u.Address} }

// endpoint returns where calls to the server go.
func (r *serverRow) endpoint() endpoint { return endpoint{r.ID, r.Address} }

// endpointRow bounds the arrival of the calls to an endpoint: lives of a server can't be
// told apart there.
type endpointRow struct {
	// latestArrival bounds the arrival of the last grant: the end of the last
	// call that was sent.
	latestArrival time.Duration
	// latestUnanswered is the same for unanswered calls.
	latestUnanswered time.Duration
	inFlight         map[uint64]time.Duration // Start times of calls in flight, by call ID.
}

// endpointOf returns the row of an endpoint, adding one if needed.
func (m *Machine) endpointOf(id, address string) *endpointRow {
	key := endpoint{id, address}
	row := m.endpoints[key]
	if row == nil {
		row = &endpointRow{inFlight: make(map[uint64]time.Duration)}
		m.endpoints[key] = row
	}
	return row
}
