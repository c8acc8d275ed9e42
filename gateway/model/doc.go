// Package model holds the types that the gateway's subsystems share: the
// operators' configuration, backend servers as the platform's store announces
// them, and the process's settings.
//
// The types say nothing of how they travel; package port lists the interfaces
// through which they come in and go out.
package model
