// Package fleetv1 is generated from proto/fleet/v1: the messages between the
// daemons of one fleet.
package fleetv1
