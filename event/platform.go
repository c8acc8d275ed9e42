package event

// Numbers of the platform area.
const (
	StandinStarted    Number = 500
	StandinFault      Number = 501
	StandinFaultEnded Number = 502
)

// platformEvents defines the events of the platform area, which the stand-ins of
// the demo and of guavacrankctl standin emit.
var platformEvents = []Definition{
	{StandinStarted, "standin-started", Info, "The stand-ins for the platform's service and the backend servers are listening."},
	{StandinFault, "standin-fault", Warn, "A fault was injected at a stand-in."},
	{StandinFaultEnded, "standin-fault-ended", Info, "An injected fault ended."},
}
