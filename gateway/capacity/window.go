package capacity

import (
	"math"
	"time"
)

// window holds the exponentially decayed sums of samples.
type window struct {
	time time.Duration // The time constant of the decay.
	// span is the decayed time that the sums cover, in seconds; busy is in seconds too.
	span, busy                    float64
	sent, served, refused, failed float64
	withheld                      float64
}

// advance lets time pass.
func (w *window) advance(elapsed time.Duration) {
	kept := math.Exp(-elapsed.Seconds() / w.time.Seconds())
	w.span = w.span*kept + w.time.Seconds()*(1-kept)
	for _, sum := range []*float64{&w.busy, &w.sent, &w.served, &w.refused, &w.failed, &w.withheld} {
		*sum *= kept
	}
}

// add adds a sample.
func (w *window) add(s Sample) {
	w.busy += s.Busy.Seconds()
	w.sent += float64(s.Sent)
	w.served += float64(s.Served)
	w.refused += float64(s.Refused)
	w.failed += float64(s.Failed)
	w.withheld += float64(s.Withheld)
}

// become takes over the sums of another window.
func (w *window) become(other window) {
	kept := w.time
	*w = other
	w.time = kept
}

// perSecond returns the rate of a sum of the window.
func (w *window) perSecond(sum float64) float64 { return sum / max(w.span, minSpan) }

// minSpan is the shortest time that a rate is taken over, in seconds.
const minSpan = 0.2

// responseTime returns the mean response time in seconds. prior counts as that of
// priorResponses further responses.
func (w *window) responseTime(prior float64) float64 {
	return (w.busy + priorResponses*prior) / (w.served + priorResponses)
}

// failures returns the share of the requests that ended otherwise than with a response.
func (w *window) failures() float64 {
	bad := w.refused + w.failed
	return bad / (bad + w.served + priorResponses)
}
