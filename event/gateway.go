package event

// Numbers of the gateway area.
const (
	GatewayStarted        Number = 700
	GatewayReady          Number = 701
	GatewayNotReady       Number = 702
	GatewayStopping       Number = 703
	GatewayStopped        Number = 704
	GatewayReloaded       Number = 705
	GatewayConfigured     Number = 710
	RecordIgnored         Number = 711
	GatewayStoreLost      Number = 712
	GatewayStoreRegained  Number = 713
	BackendSeen           Number = 714
	BackendLeaving        Number = 715
	BackendGone           Number = 716
	BackendLimited        Number = 717
	ServersReadDirectly   Number = 718
	ServerProbed          Number = 719
	LeadershipWon         Number = 720
	LeadershipLost        Number = 721
	KeysPageWritten       Number = 722
	KeysPageNotWritten    Number = 723
	KeysPageSeen          Number = 724
	GrantFailed           Number = 725
	ReleaseEnded          Number = 726
	PredecessorStopped    Number = 727
	PeerUnreachable       Number = 728
	UpdateNotSent         Number = 729
	RequestAnswered       Number = 730
	RequestNotRun         Number = 731
	RequestMayHaveRun     Number = 732
	RequestRejected       Number = 733
	CallerLeft            Number = 735
	GatewayLinesDropped   Number = 740
	GatewayListenerFailed Number = 741
	StoreRestored         Number = 742
	LeaderConsulted       Number = 743
	KeysGranted           Number = 744
	MemoryUsedUp          Number = 745
	ConnectionsBounded    Number = 746
	MetricsNotSent        Number = 747
	CallersCutOff         Number = 748
	CallerClosedUnsent    Number = 749

	BackendSaidLeaving      Number = 750
	BackendLeavingForgotten Number = 751
	BackendBackoffBegun     Number = 752
	BackendBackoffEnded     Number = 753
	RetryAfterIgnored       Number = 754
	ServerUnfenced          Number = 755
	ServerFenced            Number = 756
	ServerListReceived      Number = 757
	ServerListOutdated      Number = 758
	ServerListCurrent       Number = 759
	ControlLoopLate         Number = 760
	FleetRecorded           Number = 761
	FleetNotRecorded        Number = 762
	RouteLeftOut            Number = 770
	EvacuationBegun         Number = 771
	EvacuationEnded         Number = 772

	BackendCold    Number = 780
	BackendWarm    Number = 781
	LearnedIgnored Number = 790
)

// gatewayEvents defines the events of the gateway area.
var gatewayEvents = []Definition{
	{GatewayStarted, "gateway-started", Info, "The process is running and listening with the settings in the fields; it accepts no callers before gateway-ready."},
	{GatewayReady, "gateway-ready", Info, "A configuration is in force and backend servers are known; the readiness check passes from now on."},
	{GatewayNotReady, "gateway-not-ready", Warn, "The readiness check fails from now on; the cause says why."},
	{GatewayStopping, "gateway-stopping", Info, "The process received a stop signal. It serves requests until the load balancer has noticed."},
	{GatewayStopped, "gateway-stopped", Info, "The process exits; the field in_flight gives the number of requests that are interrupted."},
	{GatewayReloaded, "gateway-reloaded", Info, "The settings file was reloaded; the fields list what changed and what requires a restart."},
	{GatewayConfigured, "gateway-configuration-in-force", Info, "A newer version of the operators' configuration is in force on this VM; the field source says whether it came from the store or from a peer."},
	{RecordIgnored, "record-ignored", Warn, "An invalid record was ignored; the cause names the field. All other records stay in use."},
	{GatewayStoreLost, "gateway-store-lost", Warn, "Calls to the store fail; the last known state stays in force. The field calls names the kind of call."},
	{GatewayStoreRegained, "gateway-store-regained", Info, "Calls to the store succeed again; the field away gives the time for which they failed."},
	{BackendSeen, "backend-seen", Info, "An incarnation of a backend server was listed for the first time, or again after it was gone."},
	{BackendLeaving, "backend-leaving", Info, "A backend server reports that it is leaving; it is sent no new requests."},
	{BackendGone, "backend-gone", Info, "A backend server is no longer listed; it is sent no new requests."},
	{BackendLimited, "backend-limited", Info, "A backend server named a limit on the requests per second that it takes from all VMs together, or no longer names one; the fields give the limit and the requests since the last report."},
	{ServersReadDirectly, "servers-read-directly", Info, "This VM, which does not lead, read the server list from the store, because it got no recent one from a peer; the fields give its size and how long the call took."},
	{ServerProbed, "server-probed", Info, "A server to which no connection could be opened was asked for its identity; it is granted keys again only if it is still the server that its record names."},
	{LeadershipWon, "leadership-won", Info, "This VM became the leader, which decides on the ownership of keys."},
	{LeadershipLost, "leadership-lost", Info, "This VM is no longer the leader, which decides on the ownership of keys; the cause says why."},
	{KeysPageWritten, "keys-page-written", Info, "The store confirmed a change of owners; the fields count the ranges, and the ranges and keys that wait for earlier owners."},
	{KeysPageNotWritten, "keys-page-not-written", Warn, "A change of owners was not confirmed; the page is read again before the next change."},
	{KeysPageSeen, "keys-page-seen", Info, "A newer version of the page with the owners of keys is in force on this VM."},
	{GrantFailed, "grant-failed", Warn, "A grant of keys was not confirmed: it was rejected because the server knows a higher fencing token, got no response (it may still be applied later), or was not sent."},
	{ReleaseEnded, "release-ended", Info, "A call to release keys ended; if it got no response, the keys are not granted again before the grant has expired. With the field fencing the server holds nothing any more and is only told a higher fence. The field relayed says how many other VMs it answered."},
	{PredecessorStopped, "predecessor-stopped", Info, "The previous leader is known to send no more grants; the cause says how."},
	{PeerUnreachable, "peer-out-of-reach", Warn, "A call between this VM and the leader failed; load balancing and the retry budget use the last known values."},
	{UpdateNotSent, "news-not-sent", Info, "An update to a page of keys, a configuration or the server list did not reach a daemon at once; the daemon gets it with the response to a report."},
	{RequestAnswered, "request-answered", Info, "A backend server's complete response was forwarded. Successful requests are sampled by request ID, so that all VMs log the same ones."},
	{RequestNotRun, "request-not-run", Warn, "A request ended without having run; the code says why. The response told the caller when to retry. The field withheld is the status that the configuration in force called for, had it been known to be the newest."},
	{RequestMayHaveRun, "request-may-have-run", Warn, "A request ended without a response for its caller after it may have reached a backend server; the code says why. With unproved, the server's status is in the field send_N and was withheld."},
	{RequestRejected, "request-rejected", Info, "A request was rejected as invalid: no route, an invalid header, or a body above the size limit. The fields name the configuration it was judged by: version, source, how long it is in force (in_force_for) and when it was last known to be the newest (confirmed_ago; absent if never)."},
	{CallerLeft, "caller-left", Info, "The caller closed its connection before the response; the backend server's work was canceled."},
	{GatewayLinesDropped, "gateway-lines-left-out", Warn, "Log lines were dropped because the output queue was full or the rate limit was reached; the field lines gives their number."},
	{GatewayListenerFailed, "gateway-listener-failed", Error, "A listener of this process failed; the process exits."},
	{StoreRestored, "store-restored", Warn, "The store was restored from an earlier copy and has lost changes, since its era has risen; the fields give the new and the previous era."},
	{LeaderConsulted, "leader-consulted", Info, "After a restoration of the store, the new leader of the era has asked the other daemons for the newest ownership page of a service; confirmed says that no later page is possible, otherwise keys are granted only after all earlier grants have expired."},
	{KeysGranted, "keys-granted", Info, "A server accepted a fencing token for some keys for the first time; the fields name the connection, on which alone this token is sent."},
	{MemoryUsedUp, "memory-used-up", Warn, "The memory for a kind of bytes (request bodies, responses, response headers, messages of other VMs, responses of the store, requests read ahead) is used up: requests are refused, their attempts fail, or they wait for those before them, until some is released. Logged once in ten seconds; the field refused counts."},
	{ConnectionsBounded, "connections-bounded", Warn, "The connections that the configuration allows to the servers of a service (max_conns) are more than the process's descriptors permit, half of which are for all listed servers together; fewer are opened. The fields give this VM's share and its limit for each server, and how many servers there are. Logged once for each value of max_conns."},
	{MetricsNotSent, "metrics-not-sent", Info, "The page of counters could not be written; whoever asked for it has closed the connection."},
	{CallersCutOff, "callers-cut-off", Warn, "The process exits while connections of callers are open on which a request or a response is on its way, or a listener could not be closed; the cause says which, and how many connections. The field in_flight gives the number of requests."},
	{CallerClosedUnsent, "caller-closed-unsent", Info, "A connection was closed before its caller had acknowledged all responses (field unsent: bytes), because nothing came from it for five seconds, thirty had passed, or the process ended. The kernel goes on sending unless bytes of the caller are unread (field unread) or come later."},
	{BackendSaidLeaving, "backend-said-leaving", Info, "A backend server said in a response that it is leaving. This VM sends it no new requests if other servers can take them; the leader is told and moves its keys."},
	{BackendLeavingForgotten, "backend-leaving-forgotten", Info, "A backend server that said it is leaving has not been listed for two minutes; what it said is forgotten."},
	{BackendBackoffBegun, "backend-backoff-begun", Info, "A backend server turned a request away and named a time (field left) in which it wants no others from this VM; it gets none. Responses that extend the time are not logged."},
	{BackendBackoffEnded, "backend-backoff-ended", Info, "The time in which a backend server wanted no requests is over; this VM sends it requests again."},
	{RetryAfterIgnored, "retry-after-ignored", Warn, "A backend server turned a request away and named a time that is not valid (the cause quotes it); it was ignored. Logged once for each start of a server."},
	{ServerUnfenced, "server-unfenced", Warn, "Keys of a backend server were given to others when its grants had expired, without its answer. It may still accept an earlier leader's grant of them, so it is told a higher fence as soon as it can be reached, and gets no keys before."},
	{ServerFenced, "server-fenced", Info, "A backend server that had lost keys without an answer has been told a higher fence, or has ended. It may get keys again."},
	{ServerListReceived, "server-list-received", Info, "Another VM sent the server list (kind complete), or changes of it (kind changes). The fields name the store's versions between which the changes lie, and how old the list in force was; the outcome says whether the changes are in force, or why not. What changes nothing is not logged."},
	{ServerListOutdated, "server-list-outdated", Info, "The server list in force is so old, or lacks changes, that servers may have left in time without this VM's knowledge; it asks others for a newer one. The field age gives the time since it was read from the store."},
	{ServerListCurrent, "server-list-current", Info, "The server list in force is recent again; the field outdated_for gives the time for which it was not."},
	{ControlLoopLate, "control-loop-late", Warn, "The control loop was late: since_tick passed between two of its ticks (every 100 ms). activities says what it did in that time, longest first; much waiting in few turns means that it got no processor time, or that the VM was suspended; queued is the number of inputs that wait."},
	{FleetRecorded, "fleet-recorded", Info, "The leader has recorded in the store which daemons count in majorities (field daemons: their number)."},
	{FleetNotRecorded, "fleet-not-recorded", Warn, "A write of that record was not confirmed; it is read again. Until then only daemons count that both versions name."},
	{RouteLeftOut, "route-left-out", Warn, "A route of the configuration in force is not served, because it names a region to which no availability zone of the settings belongs; the cause names both. All other routes are served."},
	{EvacuationBegun, "evacuation-begun", Info, "This VM knows from the server list that operators evacuate an availability zone; the zone's servers get no more requests from it, and the leader moves their keys."},
	{EvacuationEnded, "evacuation-ended", Info, "This VM knows from the server list that operators have taken the evacuation of an availability zone back; the zone's servers get requests again."},
	{BackendCold, "backend-cold", Info, "A backend server is cold, or cold for longer than it was known to be: it has just started, or it turned cold again. Until the time in the field warm_up has passed, all VMs together send it only what the configuration of its service allows."},
	{BackendWarm, "backend-warm", Info, "The record of a backend server says that it is not cold any more."},
	{LearnedIgnored, "learned-capacity-ignored", Warn, "Samples or estimates of the servers' capacity from a peer are malformed and were ignored; the field peer names it."},
}
