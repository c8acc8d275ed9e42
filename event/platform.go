package event

// platformEvents is the catalogue of the platform area.
var platformEvents = []Definition{}
