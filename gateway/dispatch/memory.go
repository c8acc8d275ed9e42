package dispatch

import (
	"net/http"

	"guavacrank.example/gateway/memory"
)

// fieldOverheadBytes is the memory that a parsed header field takes beside its name and
// value.
const fieldOverheadBytes = 128

// readResponse reads the complete body of a response and counts its headers with it. The
// error is a memory.TooLongError, a memory.NoRoomError or that of reading.
func (c *call) readResponse(response *http.Response) (*memory.Body, error) {
	holding := c.options.Memory.Hold(memory.Responses)
	if err := holding.Grow(headerBytes(response.Header)); err != nil {
		return nil, err
	}
	declared := response.ContentLength
	if response.Request.Method == http.MethodHead {
		declared = 0
	}
	return memory.ReadBody(holding, response.Body, declared, c.options.Memory.LongestResponse())
}

// headerBytes estimates the memory that headers take.
func headerBytes(header http.Header) (sum int64) {
	for name, values := range header {
		for _, value := range values {
			sum += int64(len(name)+len(value)) + fieldOverheadBytes
		}
	}
	return sum
}

// keep makes a response that of the request; nil keeps none. The memory of an earlier
// one is released.
func (c *call) keep(response *Response) {
	if earlier := c.result.Response; earlier != nil && earlier != response {
		earlier.Body.Release()
	}
	c.result.Response = response
}

// release releases the memory of a response that is not used.
func (o outcome) release() {
	if o.response != nil {
		o.response.Body.Release()
	}
}
