package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"time"

	"guavacrank.example/traffic/front"
)

// held is what many callers at once cost.
type held struct {
	bytesEach float64
	lost      int
}

// waitLimit bounds the wait until every caller's request is in the router.
const waitLimit = 30 * time.Second

// memory lets callers send a request each that waits in the router, measures
// the memory of the process, and then reads every answer. The callers are bare
// connections, so that nearly all memory is the router's.
func memory(callers int) (held, error) {
	release := make(chan struct{})
	answer := answering()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer.ServeHTTP(w, r)
	}))
	defer backend.Close()
	handler := newRouter("a", backend.Listener.Addr().String(), "", callers)
	router := httptest.NewServer(handler)
	defer router.Close()

	conns := make([]net.Conn, 0, callers)
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	before := inUse()
	for range callers {
		conn, err := net.Dial("tcp", router.Listener.Addr().String())
		if err != nil {
			close(release)
			return held{}, err
		}
		conns = append(conns, conn)
		fmt.Fprintf(conn, "GET %scards/key HTTP/1.1\r\nHost: router\r\n\r\n", front.CallerPrefix)
	}
	for end := time.Now().Add(waitLimit); handler.InFlight() < callers && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	result := held{bytesEach: float64(inUse()-before) / float64(callers)}
	close(release)
	for _, conn := range conns {
		if !readAnswer(conn) {
			result.lost++
		}
	}
	return result, nil
}

// inUse returns the bytes of heap and stacks in use.
func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func readAnswer(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(waitLimit))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK && size == answerBytes
}
