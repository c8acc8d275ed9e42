// Package admission decides which requests are sent to the servers of a service that have not
// room for all of them: callers compete for too little room. What cannot be served within its
// latency objective is refused at arrival, not after it has waited or been sent. The design is described in docs/design/admission.md.
//
// Package admission does no I/O, reads no clock and draws no random numbers: they are passed
// in.
package admission
