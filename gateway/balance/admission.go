package balance

import "time"

// Admit reports whether both the limit that the server names and, while it is cold, its
// part of what it bears admit a request now. vms is the number of VMs, or zero if unknown.
func (s *Server) Admit(now time.Duration, vms int) bool {
	return s.Cold.Admit(now, vms) && s.Limit.Admit(now, vms)
}

// RetryAfter returns the time after which this VM may send another request to a server
// that did not admit one.
func (s *Server) RetryAfter(now time.Duration, vms int) time.Duration {
	if s.Cold.Active(now) {
		return s.Cold.RetryAfter(now, vms)
	}
	return s.Limit.RetryAfter(now, vms)
}
