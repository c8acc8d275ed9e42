package front

import (
	"net/http"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/verdict"
)

// call is one caller's request on its way through this VM.
type call struct {
	service *service
	class   config.Class
	key     string
	// path is the escaped path that the server gets: the key's, with a leading slash.
	path string
	// once is the caller's idempotency key, empty without one.
	once string
	// id is unique for each caller's request.
	id string
	// attempt numbers the sends of this request, from 1.
	attempt int
	// deadline is on the handler's clock.
	deadline time.Duration
	// mayRunUntil is the deadline of a non-idempotent request on the clock that
	// runs on while the VM is suspended, zero for another one.
	mayRunUntil time.Duration
	request     *http.Request
	body        body

	// forwarded says that another VM sent the request here; crossing that the
	// answer goes over the link between regions from here.
	forwarded bool
	crossing  bool
	// maxWait has the request refused rather than wait longer; zero accepts
	// any wait. refusedBy are the groups that refused.
	maxWait   time.Duration
	refusedBy []*groupState
	// tried are the servers that failed this request.
	tried []string
	seen  metric.Observation
}

// target is where an attempt goes.
type target struct {
	server *server     // In a service divided by key.
	group  *groupState // In another one.
	// epoch and unit identify the ownership.
	unit  uint32
	epoch uint64
	// peer is the VM that sends; nil means this one.
	peer *peer
	// crossing says that the server stands in another region.
	crossing bool
}

// outcome is the end of one attempt, or of the whole request.
type outcome struct {
	verdict verdict.Verdict
	code    verdict.Code
	detail  string
	// retryAfter is a hint when to come again, zero without one.
	retryAfter time.Duration
	// answer is set with verdict Answered only; it must be closed.
	answer *answer
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
