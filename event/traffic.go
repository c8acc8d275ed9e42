package event

// Numbers of the traffic area.
const (
	HomeUnreachable    Number = 200
	ServerEjected      Number = 201
	RecordsUnavailable Number = 202
)

// trafficEvents defines the events of the traffic area.
var trafficEvents = []Definition{
	{HomeUnreachable, "home-unreachable", Warn, "The VM that queues requests for a backend server did not accept a request. For one second this VM sends requests directly to servers that check grants, within its share of connections; requests to other servers wait for a new home VM."},
	{ServerEjected, "server-left-out", Warn, "A backend server failed several requests in a row and is not selected for a time. Check the server; other servers of its service take over its requests."},
	{RecordsUnavailable, "records-unavailable", Error, "The idempotency key of a non-idempotent request could not be recorded in the platform's store, so the request was not run. Logged at most once per second."},
}
