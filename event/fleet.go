package event

// fleetEvents is the catalogue of the fleet area.
var fleetEvents = []Definition{}
