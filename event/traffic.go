package event

// trafficEvents is the catalogue of the traffic area.
var trafficEvents = []Definition{}
