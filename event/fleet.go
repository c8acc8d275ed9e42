package event

// Numbers of the fleet area.
const (
	MemberJoined       Number = 300
	MemberSuspected    Number = 301
	MemberFailed       Number = 302
	MemberReturned     Number = 303
	MemberForgotten    Number = 304
	SuspicionOverruled Number = 305
	NameUsedTwice      Number = 306
	ObserverPaused     Number = 307
	StoreWatchStarted  Number = 308
	StoreWatchStopped  Number = 309
	StoreCallsFailing  Number = 310
	StoreCallsWorking  Number = 311
	StoreWatchMissed   Number = 312
	PeerRefused        Number = 313
	PeerTooFast        Number = 314
	ReadyWithoutStore  Number = 315
	ObserverIsolated   Number = 316
)

// fleetEvents defines the events of the fleet area.
var fleetEvents = []Definition{
	{MemberJoined, "member-joined", Info, "A VM announced itself to the fleet for the first time, or again after it had been removed from the members."},
	{MemberSuspected, "member-suspected", Info, "One observer receives no messages from a VM. The VM counts as not alive until the observer receives messages again or the suspicion is overruled."},
	{MemberFailed, "member-condemned", Warn, "At least two observers receive no messages from a VM, which counts as failed. Check the VM unless the platform stopped it."},
	{MemberReturned, "member-returned", Info, "A VM that was suspected or failed is reachable again."},
	{MemberForgotten, "member-forgotten", Info, "A VM that left, or that is no longer on the platform's VM list, was removed from the members."},
	{SuspicionOverruled, "suspicion-overruled", Warn, "One observer receives no messages from a VM that all others can reach. Check the network between the two."},
	{NameUsedTwice, "name-used-twice", Error, "Another process announces itself under this VM's name. Stop one of the two, or change the name in its settings."},
	{ObserverPaused, "observer-paused", Warn, "This VM's process was paused for longer than a heartbeat interval; it reports no VM as unreachable because of messages that it missed meanwhile. Check for a frozen or overloaded VM."},
	{StoreWatchStarted, "store-watch-started", Info, "This VM now watches the platform's store for its region."},
	{StoreWatchStopped, "store-watch-stopped", Info, "Another VM now watches the platform's store for this region."},
	{StoreCallsFailing, "store-calls-failing", Warn, "The fleet's calls to the platform's store fail. Documents are obtained from other VMs meanwhile."},
	{StoreCallsWorking, "store-calls-working", Info, "The fleet's calls to the platform's store succeed again."},
	{StoreWatchMissed, "store-watch-missed", Warn, "A list call returned a change that the watch had not reported; the watch was restarted."},
	{PeerRefused, "peer-refused", Warn, "A connection to the fleet listener was rejected: wrong token, wrong VM name, or a malformed message. Check the settings of the VM that opened it."},
	{PeerTooFast, "peer-too-fast", Warn, "A VM exceeded the message rate limit; the excess messages were dropped, and the exchange of digests restores what they carried."},
	{ReadyWithoutStore, "ready-without-store", Warn, "This VM started while the store was unreachable and obtained the configuration from other VMs."},
	{ObserverIsolated, "observer-isolated", Warn, "This VM receives no messages from any other VM. It counts all others as not alive, but reports none of them as unreachable. Check its network."},
}
