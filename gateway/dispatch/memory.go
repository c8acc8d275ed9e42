package dispatch

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// responseMemoryDivisor limits the bodies of all responses that are being read to
	// 1/4 of the process's memory limit.
	responseMemoryDivisor = 4
	// longestResponseDivisor limits the body of one response to 1/16 of the process's
	// memory limit.
	longestResponseDivisor = 16
)

// errNoResponseMemory reports that the memory for responses is used up.
var errNoResponseMemory = errors.New("the memory for responses is used up")

// responseTooLongError reports a response whose body exceeds the limit in bytes.
type responseTooLongError struct{ limit int64 }

func (e responseTooLongError) Error() string {
	return fmt.Sprintf("the response is longer than %d bytes", e.limit)
}

// responseMemory limits the memory for responses that are being read. It is safe for
// concurrent use.
type responseMemory struct {
	// limit is the memory limit of the process in bytes; zero sets no limit.
	limit int64
	used  atomic.Int64
}

// read reads the complete body of a response. The error is a responseTooLongError,
// errNoResponseMemory or that of reading.
func (m *responseMemory) read(response *http.Response) ([]byte, error) {
	if m.limit == 0 {
		return io.ReadAll(response.Body)
	}
	longest := m.limit / longestResponseDivisor
	if response.ContentLength > longest && response.Request.Method != http.MethodHead {
		return nil, responseTooLongError{longest}
	}
	r := &limitedResponse{source: response.Body, memory: m, longest: longest}
	defer func() { m.used.Add(-r.read) }()
	return io.ReadAll(r)
}

// limitedResponse is the body of a response that is being read.
type limitedResponse struct {
	source  io.Reader
	memory  *responseMemory
	longest int64
	read    int64
}

// Read implements io.Reader.
func (r *limitedResponse) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.read += int64(n)
	used := r.memory.used.Add(int64(n))
	switch {
	case r.read > r.longest:
		return n, responseTooLongError{r.longest}
	case used > r.memory.limit/responseMemoryDivisor:
		return n, errNoResponseMemory
	}
	return n, err
}
