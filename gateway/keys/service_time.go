package keys

import "math"

const (
	// serviceTimeSteps is the number of steps in which a service time is found: to
	// about a hundredth of the response time.
	serviceTimeSteps = 7
	// serviceTimeWeight is the weight of one response in the smoothed mean. The
	// first responses weigh more: all of them the same.
	serviceTimeWeight = 0.03
	// priorSamples is the number of responses as which the mean of all servers
	// counts in the estimate for one server.
	priorSamples = 4
)

// serviceTime is a server's smoothed mean service time.
type serviceTime struct {
	mean    float64 // In seconds.
	samples int     // Responses so far.
}

// add adds the mean service time of some responses, in seconds.
func (s *serviceTime) add(mean float64, responses int) {
	s.samples += responses
	smoothed := 1 - math.Pow(1-serviceTimeWeight, float64(responses))
	weight := max(smoothed, float64(responses)/float64(s.samples))
	s.mean += weight * (mean - s.mean)
}

// estimate returns the service time in seconds. common is the mean of all servers.
func (s *serviceTime) estimate(common float64) float64 {
	n := min(float64(s.samples), 1/serviceTimeWeight)
	return (n*s.mean + priorSamples*common) / (n + priorSamples)
}

// unqueuedTime estimates the service time of a server that sends responses at a rate
// per second with a mean response time in seconds, by Sakasegawa's approximation of
// the wait in a queue with several slots. A saturated server answers as many requests
// as its slots can run, however long its queue is.
func unqueuedTime(responseTime, responseRate float64, slots int) float64 {
	n := float64(max(slots, 1))
	low, high := 0.0, responseTime
	for range serviceTimeSteps {
		middle := (low + high) / 2
		utilization := responseRate * middle / n
		if utilization < 1 && middle*(1+queueWait(utilization, n)) <= responseTime {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// queueWait returns the mean wait in units of the service time.
func queueWait(utilization, slots float64) float64 {
	return math.Pow(utilization, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilization))
}
