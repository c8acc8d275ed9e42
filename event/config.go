package event

// Numbers of the config area (configuration and operators).
const (
	ConfigurationApplied        Number = 400
	ConfigurationConflict       Number = 401
	ConfigurationRefused        Number = 402
	ConfigurationOutcomeUnknown Number = 403
	ConfigurationNotApplied     Number = 404
	LossDeclared                Number = 405
	ServerDrainChanged          Number = 406
	OperatorTokenRefused        Number = 410
	OperatorBusy                Number = 411
)

// configEvents defines the events of the config area.
var configEvents = []Definition{
	{ConfigurationApplied, "configuration-applied", Info, "The store confirmed a new revision of the configuration that was sent to this VM. Each VM reports separately when the revision is in force there."},
	{ConfigurationConflict, "configuration-conflict", Info, "A change was rejected because another operator changed the configuration first. Nothing was applied; check the diff and apply the change again."},
	{ConfigurationRefused, "configuration-refused", Warn, "An invalid configuration was rejected; the fields give the file, line and field of the first fault. The configuration in force is unchanged."},
	{ConfigurationOutcomeUnknown, "configuration-outcome-unknown", Error, "The store did not confirm in time whether a change took effect. Send the same change again with the same change ID; this resolves the outcome without applying the change twice."},
	{ConfigurationNotApplied, "configuration-not-applied", Warn, "A change was not applied because the store was unreachable. The configuration in force is unchanged; retry when the store is reachable."},
	{LossDeclared, "loss-declared", Warn, "An operator declared a VM, server, zone or region permanently lost. What it owned or granted is reassigned without waiting for its confirmation, so it must not be running."},
	{ServerDrainChanged, "server-drain-changed", Info, "An operator started or ended the draining of a backend server."},
	{OperatorTokenRefused, "operator-token-refused", Warn, "A request to the operator interface did not carry the right token. If the token was not mistyped, find out who can reach the address."},
	{OperatorBusy, "operator-interface-busy", Warn, "A request to the operator interface was rejected because too many are in progress."},
}
