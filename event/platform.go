package event

// Numbers of the platform area.
const (
	StandinStarted    Number = 500
	StandinFault      Number = 501
	StandinFaultEnded Number = 502
)

// platformEvents is the catalogue of the platform area: what the stand-ins of
// the demo and of guavacrankctl standin report.
var platformEvents = []Definition{
	{StandinStarted, "standin-started", Info, "The stand-ins of the platform's service and of the backend servers listen."},
	{StandinFault, "standin-fault", Warn, "A fault was caused on purpose at a stand-in."},
	{StandinFaultEnded, "standin-fault-ended", Info, "A fault that was caused on purpose has ended."},
}
