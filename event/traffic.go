package event

// Events of the traffic area.
const (
	HomeUnreachable    Number = 200
	ServerLeftOut      Number = 201
	RecordsUnavailable Number = 202
)

// trafficEvents is the catalogue of the traffic area.
var trafficEvents = []Definition{
	{HomeUnreachable, "home-unreachable", Warn, "The VM that queues for a backend server did not take a request. For a second this VM goes direct to servers that check grants, within its share of connections; requests to other servers wait for a new home."},
	{ServerLeftOut, "server-left-out", Warn, "A backend server failed several requests in a row and is left out of the choice for a time. Look at the server; others of its service carry its work."},
	{RecordsUnavailable, "records-unavailable", Error, "The idempotency key of a non-idempotent request could not be recorded in the platform's store, so that the request was not run. Logged at most once a second."},
}
