package capacity

import "math"

// serviceTimeSteps is the number of steps in which a service time is found: to about a
// hundredth of the response time.
const serviceTimeSteps = 7

// UnqueuedTime estimates the service time of a server that sends responses at a rate
// per second with a mean response time in seconds, by Sakasegawa's approximation of
// the wait in a queue with several slots. A saturated server answers as many requests
// as its slots can run, however long its queue is.
func UnqueuedTime(responseTime, responseRate float64, slots int) float64 {
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
