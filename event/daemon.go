package event

// daemonEvents is the catalogue of the daemon area.
var daemonEvents = []Definition{}
