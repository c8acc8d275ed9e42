// Command refused checks rule REFUSED: a request that may run once only is not answered 503 once
// a backend server has begun to work on it.
//
//	refused GUAVACRANKD RECORD trouble|calm
//
// Two gateways, eight servers of one service, sixteen clients. With trouble one server fails 0.4 of
// its requests for 12 s: it has begun to work and answers 503, signed, without Not-Executed.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"guavacrank.example/review/second/lab"
)

const (
	servers      = 8
	clients      = 16
	calmTime     = 3 * time.Second
	troubleTime  = 12 * time.Second
	failingShare = 0.4
	timeLimit    = 2500 * time.Millisecond
)

// run is what was seen: the runs of each attempt and of each order.
type run struct {
	record *lab.Record

	mu       sync.Mutex
	attempts map[string]int // Runs by Request-Id.
	orders   map[string]int // Runs by order.
	orderOf  map[string]string
	refused  []string // Attempts that were answered 503 and have run.
	answers  map[int]int
}

func (r *run) ran(server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id]++
	r.orders[r.orderOf[id]]++
	r.record.Printf("%s runs %s of order %s", server, id, r.orderOf[id])
}

// send makes one attempt and returns the status, zero without an answer, and Retry-After.
func (r *run) send(client *http.Client, address, order, id string, left time.Duration) (int, time.Duration) {
	r.mu.Lock()
	r.orderOf[id] = order
	r.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/orders/new", strings.NewReader("order "+order))
	request.Host = "shop.example"
	request.Header.Set(lab.Wire.RequestID, id)
	request.Header.Set(lab.Wire.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	r.record.Printf("client sends %s of order %s", id, order)
	response, err := client.Do(request)
	if err != nil {
		r.record.Printf("client gets no answer to %s: %v", id, err)
		return 0, 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[response.StatusCode]++
	r.record.Printf("client gets %d to %s, signature %q", response.StatusCode, id, response.Header.Get(lab.Wire.Signature))
	if response.StatusCode == http.StatusServiceUnavailable && r.attempts[id] > 0 {
		r.refused = append(r.refused, id)
	}
	return response.StatusCode, time.Duration(after * float64(time.Second))
}

// order places one order as PROTOCOL says: again, once, only after a promise.
func (r *run) order(client *http.Client, addresses []string, name string) {
	end := time.Now().Add(timeLimit)
	status, after := r.send(client, addresses[rand.IntN(len(addresses))], name, name+"-1", timeLimit)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	time.Sleep(min(after, time.Until(end)/3))
	r.send(client, addresses[rand.IntN(len(addresses))], name, name+"-2", time.Until(end))
}

func main() {
	broken, err := play(os.Args[1], os.Args[2], os.Args[3] == "trouble")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func play(binary, recordFile string, trouble bool) (broken bool, err error) {
	record, err := lab.NewRecord(recordFile)
	if err != nil {
		return false, err
	}
	r := &run{record: record, attempts: make(map[string]int), orders: make(map[string]int), orderOf: make(map[string]string), answers: make(map[int]int)}
	dir, err := os.MkdirTemp("", "refused")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	store, err := lab.NewStore()
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	store.Put(lab.Wire.Configuration, lab.Configuration(map[string]any{
		"orders": lab.Route("/orders/", "non_idempotent", "printer", 1200),
	}, "printer"))
	var failing sync.Map
	for at := range servers {
		s := &lab.Server{ID: fmt.Sprintf("i-%d", at), Service: "printer", Zone: "hakata", Slots: 4, Work: 30 * time.Millisecond, OnRun: r.ran}
		s.Answer = func(w http.ResponseWriter, _ *http.Request) bool {
			if _, on := failing.Load(s.ID); !on || rand.Float64() >= failingShare {
				return false
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "the order was begun and not finished")
			return true
		}
		if err := s.Start(store, done); err != nil {
			return false, err
		}
	}
	gateways, err := lab.StartGateways(dir, binary, store.Address(), "hakata", "kurume")
	defer lab.KillAll(gateways)
	if err != nil {
		return false, err
	}
	var addresses []string
	for _, g := range gateways {
		addresses = append(addresses, g.Callers)
	}
	var callers sync.WaitGroup
	end := time.Now().Add(calmTime + troubleTime)
	for c := range clients {
		callers.Go(func() {
			client := &http.Client{Timeout: timeLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for n := 0; time.Now().Before(end); n++ {
				r.order(client, addresses, fmt.Sprintf("%d.%d", c, n))
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	time.Sleep(calmTime)
	if trouble {
		failing.Store("i-0", true)
		record.Printf("i-0 begins to fail %g of its requests", failingShare)
	}
	callers.Wait()
	return r.result(), nil
}

// result writes what was seen and reports whether the rule was broken.
func (r *run) result() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	doubled := 0
	for _, runs := range r.orders {
		if runs > 1 {
			doubled++
		}
	}
	summary := fmt.Sprintf("%d orders, answers by status %v; answered 503 and run: %d; orders that ran twice after a client had trusted a 503: %d", len(r.orders), r.answers, len(r.refused), doubled)
	r.record.Printf("%s", summary)
	fmt.Println(summary)
	return len(r.refused) > 0
}
