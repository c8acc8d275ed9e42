package front

import (
	"net/http"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/verdict"
)

// call is one caller's request while this VM handles it.
type call struct {
	service *service
	class   config.Class
	key     string
	// path is the escaped path that is sent to the server: the key with a
	// leading slash.
	path string
	// idempotencyKey is the caller's idempotency key, or empty.
	idempotencyKey string
	// id is unique for each caller's request.
	id string
	// attempt is the number of the current attempt, starting at 1.
	attempt int
	// deadline is on the handler's clock.
	deadline time.Duration
	// elapsedDeadline is the deadline of a non-idempotent request on the
	// Elapsed clock, which also runs while the VM is suspended. It is zero for
	// an idempotent request.
	elapsedDeadline time.Duration
	request         *http.Request
	body            body

	// forwarded is set if another VM forwarded the request; crossRegion if
	// this VM sends or receives the response over the link between regions.
	forwarded   bool
	crossRegion bool
	// maxWait is the longest expected wait in a queue; the home refuses a
	// request that would wait longer. Zero means no limit. busyGroups are the
	// groups that refused for this reason.
	maxWait    time.Duration
	busyGroups []*groupState
	// failedServers are the servers that refused this request or failed to
	// answer it.
	failedServers []string
	observation   metric.Observation
}

// target is the destination of one attempt.
type target struct {
	server *server     // Set in a service that is divided by key.
	group  *groupState // Set in a service that is not divided by key.
	// unit and epoch identify the ownership of the key.
	unit  uint32
	epoch uint64
	// peer is the VM that the request is forwarded to; nil if this VM sends it
	// to the server.
	peer *peer
	// crossRegion is set if the server is in another region.
	crossRegion bool
}

// outcome is the result of one attempt, or of the whole request.
type outcome struct {
	verdict verdict.Verdict
	code    verdict.Code
	detail  string
	// retryAfter is the delay suggested to the caller before a retry; zero if
	// there is none.
	retryAfter time.Duration
	// response is set only with verdict Answered; it must be closed.
	response *response
}

func notRun(code verdict.Code, detail string) outcome {
	return outcome{verdict: verdict.NotRun, code: code, detail: detail}
}

func mayHaveRun(code verdict.Code, detail string) outcome {
	return outcome{verdict: verdict.MayHaveRun, code: code, detail: detail}
}

// remaining returns the time left until the call's deadline.
func (c *call) remaining(now time.Duration) time.Duration { return c.deadline - now }

// settings returns the settings of the call's class.
func (c *call) settings() config.Defaults { return c.service.settingsOf(c.class.Name) }
