// Package fleetv1connect is generated from proto/fleet/v1: client and server
// of the protocol between the daemons of one fleet.
package fleetv1connect
