package event

// Events of the control area.
const (
	Paused              Number = 100
	PageCreated         Number = 101
	ServerLost          Number = 102
	ServerReturned      Number = 103
	TermTaken           Number = 104
	TermLost            Number = 105
	BothOutOfReach      Number = 106
	UnitsMoved          Number = 107
	UnitStopped         Number = 108
	HandOverRequested   Number = 109
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

// controlEvents is the catalogue of the control area.
var controlEvents = []Definition{
	{Paused, "paused", Warn, "This VM's daemon did not run for longer than the life of a grant. It acts again after reading its pages or hearing its servers; look for an overloaded or suspended VM."},
	{PageCreated, "page-created", Info, "The first ownership page of a service is in the store; every shard has an owner."},
	{ServerLost, "server-lost", Warn, "A backend server did not answer until its grant had run out; its units are being given to others."},
	{ServerReturned, "server-returned", Info, "A backend server that was found lost answers again and may be given units."},
	{TermTaken, "term-taken", Info, "This VM became the grantor of a backend server."},
	{TermLost, "term-lost", Info, "Another VM became the grantor of a backend server that this VM held."},
	{BothOutOfReach, "both-out-of-reach", Error, "A backend server and a former grantor of it are out of reach, so nothing is moved. If one of them is gone for good, declare it lost with a reason."},
	{UnitsMoved, "units-moved", Info, "The store confirmed a change of owners."},
	{UnitStopped, "unit-stopped", Debug, "A unit's previous owner has stopped; the new owner may be granted it."},
	{HandOverRequested, "hand-over-requested", Info, "This VM asks another one to become the grantor of a backend server."},
	{KeyUnsatisfiable, "key-unsatisfiable", Warn, "A declared key can't be pinned to its server; the cause says why. The key is served by another server meanwhile."},
	{ShardsChangeRefused, "shards-change-refused", Error, "The number of shards of a service can't change once its page exists; the page's number stays in force."},
	{KeyIsolated, "key-isolated", Info, "A key was taken out of its shard into a unit of its own."},
	{KeyMerged, "key-merged", Info, "A key returned to its shard."},
	{ServerAdded, "server-added", Info, "A backend server was added to the ownership page."},
	{ServerRemoved, "server-removed", Info, "A backend server that owns nothing was removed from the ownership page."},
	{StoreSilent, "store-silent", Warn, "The store does not answer for a page. Grants are renewed as before; new ownership waits."},
	{StoreAnswered, "store-answered", Info, "The store answers again for a page."},
	{InvariantViolated, "invariant-violated", Error, "A check of the program itself failed and the action was not taken. Report it with the log."},
	{PageRefused, "page-refused", Error, "A page of the store is unsound or contradicts an earlier one; it is not acted on. Restore it or read the cause."},
}
