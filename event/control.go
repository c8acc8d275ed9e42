package event

// controlEvents is the catalogue of the control area.
var controlEvents = []Definition{}
