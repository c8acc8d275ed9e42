package event

// Numbers of the control area.
const (
	Paused              Number = 100
	PageCreated         Number = 101
	ServerLost          Number = 102
	ServerReturned      Number = 103
	TermTaken           Number = 104
	TermLost            Number = 105
	BothUnreachable     Number = 106
	UnitsMoved          Number = 107
	UnitStopped         Number = 108
	HandoverRequested   Number = 109
	KeyUnsatisfiable    Number = 110
	ShardsChangeRefused Number = 111
	KeyIsolated         Number = 112
	KeyMerged           Number = 113
	ServerAdded         Number = 114
	ServerRemoved       Number = 115
	StoreSilent         Number = 116
	StoreAnswered       Number = 117
	InvariantViolated   Number = 118
	PageRefused         Number = 119
)

// controlEvents defines the events of the control area.
var controlEvents = []Definition{
	{Paused, "paused", Warn, "This VM's daemon did not run for at least the TTL of a grant. It resumes after it has read its pages or its servers have responded; check for an overloaded or suspended VM."},
	{PageCreated, "page-created", Info, "The first ownership page of a service is in the store; every shard has an owner."},
	{ServerLost, "server-lost", Warn, "A backend server did not respond before its grant expired; its units are being reassigned to other servers."},
	{ServerReturned, "server-returned", Info, "A backend server that was marked as lost responds again and may be assigned units."},
	{TermTaken, "term-taken", Info, "This VM became the grantor of a backend server."},
	{TermLost, "term-lost", Info, "Another VM became the grantor of a backend server whose grantor was this VM."},
	{BothUnreachable, "both-out-of-reach", Error, "A backend server and one of its former grantors are unreachable, so nothing is moved. If one of them is permanently gone, declare it lost with a reason."},
	{UnitsMoved, "units-moved", Info, "The store confirmed a change of owners."},
	{UnitStopped, "unit-stopped", Debug, "The previous owner of a unit has stopped serving it; the unit may be granted to the new owner."},
	{HandoverRequested, "hand-over-requested", Info, "This VM asks another VM to become the grantor of a backend server."},
	{KeyUnsatisfiable, "key-unsatisfiable", Warn, "A declared key can't be pinned to its server; the cause says why. Another server serves the key meanwhile."},
	{ShardsChangeRefused, "shards-change-refused", Error, "The number of shards of a service can't change after its page was created; the number in the page stays in force."},
	{KeyIsolated, "key-isolated", Info, "A key was moved from its shard into a unit of its own."},
	{KeyMerged, "key-merged", Info, "A key was merged back into its shard."},
	{ServerAdded, "server-added", Info, "A backend server was added to the ownership page."},
	{ServerRemoved, "server-removed", Info, "A backend server that owns nothing was removed from the ownership page."},
	{StoreSilent, "store-silent", Warn, "The store does not respond to requests for a page. Grants are still renewed; changes of ownership wait."},
	{StoreAnswered, "store-answered", Info, "The store responds to requests for a page again."},
	{InvariantViolated, "invariant-violated", Error, "An internal consistency check failed and the action was not taken. Report it with the log."},
	{PageRefused, "page-refused", Error, "A page in the store is invalid or contradicts an earlier version; it is not used. Restore the page or read the cause."},
}
