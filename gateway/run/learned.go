package run

import (
	"math"
	"time"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/view"
)

// maxLearnedServers limits the servers of a service that the metrics name.
const maxLearnedServers = 256

// Learned is what is learned of a service's servers, as served in the metrics.
type Learned struct {
	// Servers is the number of servers with an estimate, Rate the number of requests per
	// second that they take well together, Arrival the number that they get.
	Servers int     `json:"servers"`
	Rate    float64 `json:"rate"`
	Arrival float64 `json:"arrival"`
	// Rates maps servers to their rates; of a large service to those of the first servers.
	Rates map[string]float64 `json:"rates"`
}

// learned returns what is learned of each service that has estimates.
func learned(now time.Duration, current *view.View) map[string]Learned {
	services := make(map[string]Learned)
	for name, service := range current.Services {
		sum := balance.SumEstimates(now, service.Servers)
		if sum.Servers == 0 {
			continue
		}
		services[name] = Learned{Servers: sum.Servers, Rate: rounded(sum.Rate), Arrival: rounded(sum.Arrival), Rates: learnedRates(now, service.Servers)}
	}
	return services
}

func learnedRates(now time.Duration, servers []*balance.Server) map[string]float64 {
	rates := make(map[string]float64)
	for _, server := range servers[:min(len(servers), maxLearnedServers)] {
		if estimate, ok := server.Estimate(now); ok {
			rates[server.ID] = rounded(estimate.Rate)
		}
	}
	return rates
}

// rounded returns a number with one decimal.
func rounded(number float64) float64 { return math.Round(number*10) / 10 }
