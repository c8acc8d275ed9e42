package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// errRunning is returned by Start of a server that runs already.
var errRunning = errors.New("standin: the server runs already")

// Server is one stand-in backend server. It is safe for concurrent use.
type Server struct {
	options Options

	mu      sync.Mutex
	address string // Fixed by the first start.
	faults  Faults
	boots   int
	process *process // Nil while the server is down.
}

// New returns a server that is down.
func New(options Options) *Server {
	options = options.withDefaults()
	return &Server{options: options, address: options.Address}
}

// Start starts the server with an empty state and a new boot identifier.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process != nil {
		return errRunning
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("standin %s: %w", s.options.Name, err)
	}
	s.address = listener.Addr().String()
	s.boots++
	boot := fmt.Sprintf("%s-%d-%d", s.options.Name, s.boots, s.options.Clock())
	s.process = newProcess(s, boot)
	s.process.start(listener)
	return nil
}

// Kill ends the server as a crash does: the listener and all connections
// close, runs are cut off, the state is lost. It returns once every run has ended.
func (s *Server) Kill() {
	s.mu.Lock()
	process := s.process
	s.process = nil
	s.mu.Unlock()
	if process != nil {
		process.kill()
	}
}

// Freeze stops the server as SIGSTOP does: connections stay open, and nothing
// is accepted, read, run or written. Its clock runs on.
func (s *Server) Freeze() {
	if process := s.running(); process != nil {
		process.gate.close()
	}
}

// Thaw ends Freeze as if nothing had happened: buffered requests are handled.
func (s *Server) Thaw() {
	if process := s.running(); process != nil {
		process.gate.reopen()
	}
}

// SetFaults replaces the faults; they outlive restarts.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	process := s.process
	s.mu.Unlock()
	if process != nil {
		process.publishReports()
	}
}

// Faults returns the present faults, with the counts that are left.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Name returns the server's name.
func (s *Server) Name() string { return s.options.Name }

// Address returns the IP:port on which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Running reports whether the server is up; a frozen one is.
func (s *Server) Running() bool { return s.running() != nil }

// Records returns the record of runs.
func (s *Server) Records() *Records { return s.options.Records }

func (s *Server) running() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// takeFault uses up one of a count of faults.
func (s *Server) takeFault(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := count(&s.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}
