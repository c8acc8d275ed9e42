package keys

import "math"

const (
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
