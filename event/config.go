package event

// Events of configuration and operators.
const (
	ConfigurationApplied  Number = 400
	ConfigurationConflict Number = 401
	ConfigurationRefused  Number = 402
	ConfigurationUnknown  Number = 403
	ConfigurationFailed   Number = 404
	LossDeclared          Number = 405
	ServerDrainChanged    Number = 406
	OperatorTokenRefused  Number = 410
	OperatorBusy          Number = 411
)

// configEvents is the catalogue of the config area.
var configEvents = []Definition{
	{ConfigurationApplied, "configuration-applied", Info, "The store confirmed a new revision of the configuration that was sent to this VM. Each VM reports on its own when the revision is in force there."},
	{ConfigurationConflict, "configuration-conflict", Info, "A change was refused because another operator changed the configuration first. Nothing was applied; look at the difference and apply again."},
	{ConfigurationRefused, "configuration-refused", Warn, "A faulty configuration was refused; the fields name file, line and field of the first fault. The configuration in force stays."},
	{ConfigurationUnknown, "configuration-outcome-unknown", Error, "The store did not say in time whether a change took effect. Send the same change again with its change identifier; that settles it without applying it twice."},
	{ConfigurationFailed, "configuration-not-applied", Warn, "The store could not be reached, so a change was not applied. The configuration in force stays; try again when the store answers."},
	{LossDeclared, "loss-declared", Warn, "An operator declared something lost. What it owned or granted is moved without waiting for its word; it must not be running."},
	{ServerDrainChanged, "server-drain-changed", Info, "An operator started or ended the draining of a backend server."},
	{OperatorTokenRefused, "operator-token-refused", Warn, "A request to the operator interface came without the right token. If it was not a mistyped token, find out who can reach the address."},
	{OperatorBusy, "operator-interface-busy", Warn, "A request to the operator interface was refused because too many are under way."},
}
