// Package model defines the types that the gateway's subsystems share: the
// operators' configuration, the backend servers registered in the platform's
// store, and the settings of the process.
//
// The types are independent of any storage or wire format. Package port defines
// the interfaces that exchange them with the platform.
package model
