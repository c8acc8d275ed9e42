package event

// configEvents is the catalogue of the config area.
var configEvents = []Definition{}
