package traffic

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/bench/virtual"
)

// sample is one measurement of one way.
type sample struct {
	latencies []time.Duration
	elapsed   time.Duration
	cpu       time.Duration // Of the whole process: callers, way and server.
}

func (s sample) p50() float64 { return micros(virtual.Quantile(s.latencies, 0.50)) }
func (s sample) p99() float64 { return micros(virtual.Quantile(s.latencies, 0.99)) }

func (s sample) cpuPerRequest() float64 { return micros(s.cpu) / float64(len(s.latencies)) }

func (s sample) throughput() float64 { return float64(len(s.latencies)) / s.elapsed.Seconds() }

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// measure lets callers send requests one after the other for a time.
func measure(ctx context.Context, url string, length time.Duration) (sample, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	if _, err := call(ctx, client, url); err != nil { // Opens the connections on the way.
		return sample{}, err
	}
	var mu sync.Mutex
	var s sample
	var failed error
	var group sync.WaitGroup
	cpu, began := processorTime(), time.Now()
	for range callers {
		group.Go(func() {
			latencies, err := callUntil(ctx, client, url, began.Add(length))
			mu.Lock()
			defer mu.Unlock()
			s.latencies = append(s.latencies, latencies...)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	s.elapsed, s.cpu = time.Since(began), processorTime()-cpu
	return s, failed
}

func callUntil(ctx context.Context, client *http.Client, url string, end time.Time) ([]time.Duration, error) {
	var latencies []time.Duration
	for time.Now().Before(end) {
		latency, err := call(ctx, client, url)
		if err != nil {
			return latencies, err
		}
		latencies = append(latencies, latency)
	}
	return latencies, nil
}

func call(ctx context.Context, client *http.Client, url string) (time.Duration, error) {
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	size, err := io.Copy(io.Discard, answer.Body)
	if err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK || size != answerBytes {
		return 0, fmt.Errorf("%s: status %d, %d bytes", url, answer.StatusCode, size)
	}
	return time.Since(began), nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("getrusage: " + err.Error()) // RUSAGE_SELF is always valid.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
