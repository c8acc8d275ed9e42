package event

// Numbers of the daemon area (daemon life cycle).
const (
	DaemonStarted       Number = 600
	DaemonReady         Number = 601
	DaemonStopRequested Number = 602
	DaemonTermsReleased Number = 603
	DaemonStopped       Number = 604
	DaemonStopCutOff    Number = 605
	DaemonBadDocument   Number = 606
)

// daemonEvents defines the events of the daemon area.
var daemonEvents = []Definition{
	{DaemonStarted, "daemon-started", Info, "The process is running and listening; it accepts no callers before daemon-ready."},
	{DaemonReady, "daemon-ready", Info, "A configuration revision is in force; the load balancer's health check passes from now on."},
	{DaemonStopRequested, "daemon-stop-requested", Info, "The process received a stop signal; the load balancer's health check fails and terms are handed over."},
	{DaemonTermsReleased, "daemon-terms-released", Info, "All terms of this VM were handed over, or the time limit passed (the field left gives the number that remain)."},
	{DaemonStopped, "daemon-stopped", Info, "The process exits; no request was interrupted."},
	{DaemonStopCutOff, "daemon-stop-cut-off", Error, "The process exits with requests in flight (field in_flight); their callers do not learn the outcome."},
	{DaemonBadDocument, "daemon-bad-document", Error, "A configuration or page from the platform's service can't be decoded; the one in force stays."},
}
