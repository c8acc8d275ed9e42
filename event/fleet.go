package event

// Numbers of the fleet area.
const (
	MemberJoined       Number = 300
	MemberSuspected    Number = 301
	MemberCondemned    Number = 302
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

// fleetEvents is the catalogue of the fleet area.
var fleetEvents = []Definition{
	{MemberJoined, "member-joined", Info, "A VM announced itself to the fleet for the first time, or again after it was forgotten."},
	{MemberSuspected, "member-suspected", Info, "One observer hears nothing of a VM. The VM counts as not alive until it is heard, or until the suspicion is overruled."},
	{MemberCondemned, "member-condemned", Warn, "At least two observers hear nothing of a VM. Look at the VM if the platform did not stop it."},
	{MemberReturned, "member-returned", Info, "A VM that was suspected or condemned is heard again."},
	{MemberForgotten, "member-forgotten", Info, "A VM that left, or that the platform no longer lists, was removed from the members."},
	{SuspicionOverruled, "suspicion-overruled", Warn, "One observer hears nothing of a VM that all others hear. Look at the network between the two."},
	{NameUsedTwice, "name-used-twice", Error, "Another process announces this VM's name. Stop one of the two, or change the name in its settings."},
	{ObserverPaused, "observer-paused", Warn, "This VM stood still for longer than a heartbeat; it accuses nobody for what it missed. Look for a frozen or overloaded VM."},
	{StoreWatchStarted, "store-watch-started", Info, "This VM now watches the platform's store for its region."},
	{StoreWatchStopped, "store-watch-stopped", Info, "Another VM now watches the platform's store for this region."},
	{StoreCallsFailing, "store-calls-failing", Warn, "The fleet's calls to the platform's store fail. Documents come from other VMs meanwhile."},
	{StoreCallsWorking, "store-calls-working", Info, "The fleet's calls to the platform's store work again."},
	{StoreWatchMissed, "store-watch-missed", Warn, "A listing found a change that the watch had not reported; the watch was started anew."},
	{PeerRefused, "peer-refused", Warn, "A connection to the fleet listener was refused: wrong token, wrong VM name, or a malformed message. Check the settings of the VM that it came from."},
	{PeerTooFast, "peer-too-fast", Warn, "A VM sent messages faster than the limit; the excess was dropped, and digests repair it."},
	{ReadyWithoutStore, "ready-without-store", Warn, "This VM started while the store was out and took the configuration from other VMs."},
	{ObserverIsolated, "observer-isolated", Warn, "This VM hears no other VM. It counts all others as not alive, but accuses none. Look at its network."},
}
