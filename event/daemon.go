package event

// Numbers of the daemon's life cycle.
const (
	DaemonStarted       Number = 600
	DaemonReady         Number = 601
	DaemonStopRequested Number = 602
	DaemonTermsReleased Number = 603
	DaemonStopped       Number = 604
	DaemonStopCutOff    Number = 605
	DaemonBadDocument   Number = 606
)

// daemonEvents is the catalogue of the daemon area.
var daemonEvents = []Definition{
	{DaemonStarted, "daemon-started", Info, "The process runs and listens; it takes no callers before daemon-ready."},
	{DaemonReady, "daemon-ready", Info, "A configuration revision is in force; the balancer's health check passes from now on."},
	{DaemonStopRequested, "daemon-stop-requested", Info, "A stop signal came; the balancer's health check fails and terms are handed over."},
	{DaemonTermsReleased, "daemon-terms-released", Info, "Every term of this VM was handed over, or the limit passed (field left says how many remain)."},
	{DaemonStopped, "daemon-stopped", Info, "The process ends with no request cut off."},
	{DaemonStopCutOff, "daemon-stop-cut-off", Error, "The process ends with requests in flight (field in_flight); their callers are not told the outcome."},
	{DaemonBadDocument, "daemon-bad-document", Error, "A configuration or page from the platform's service cannot be read; the one in force stays."},
}
