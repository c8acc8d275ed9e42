package linger

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var long = fmt.Sprintf("200 with %d", longBytes)

// A planned stop, as in review/12: the caller sends requests behind the response that closes.
func TestAResponseThatClosesReachesACallerThatSendsOn(t *testing.T) {
	s := newSite(t)
	conn := s.dial(t)
	_, err := io.WriteString(conn, get(fmt.Sprintf("/?bytes=%d&close", longBytes)))
	s.Expect(err).NotTo(HaveOccurred())
	stop := sendOn(conn, get("/behind"))
	got := answers(conn)
	stop()
	s.Expect(got).To(Equal(long))
}

// Before, the bytes behind such a response were read for half a second at the most.
func TestAResponseThatClosesReachesACallerThatPauses(t *testing.T) {
	const bytes = 30_000 // The caller's host does not take it, and the server's does.
	s := newSite(t)
	conn := s.dial(t)
	_, err := io.WriteString(conn, get(fmt.Sprintf("/?bytes=%d&close", bytes)))
	s.Expect(err).NotTo(HaveOccurred())
	stop := sendOn(conn, get("/behind"))
	time.Sleep(3 * settleTime)
	s.Expect(s.connections.Unfinished()).To(Equal(1))
	got := answers(conn)
	stop()
	s.Expect(got).To(Equal(fmt.Sprintf("200 with %d", bytes)))
}

// net/http waits half a second before it closes a connection whose body it did not read, but
// does not read meanwhile. The response before the rejection is cut, too.
func TestARejectedBodyLeavesTheResponsesBeforeItWhole(t *testing.T) {
	s := newSite(t)
	conn := s.dial(t)
	body := strings.Repeat("x", 1<<10)
	_, err := io.WriteString(conn, get(fmt.Sprintf("/?bytes=%d", longBytes))+
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<30)+body)
	s.Expect(err).NotTo(HaveOccurred())
	stop := sendOn(conn, body)
	time.Sleep(time.Second)
	got := answers(conn)
	stop()
	s.Expect(got).To(Equal(long + ", 413 with 0"))
}

// Reading on would take the VM's link and processor for a body that nobody wants.
func TestARejectedBodyThatGoesOnIsNotRead(t *testing.T) {
	s := newSite(t)
	conn := s.dial(t)
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<30)
	s.Expect(err).NotTo(HaveOccurred())
	begun := time.Now()
	sent, err := io.Copy(struct{ io.Writer }{conn}, io.LimitReader(zeros{}, 1<<30))
	s.Expect(err).To(HaveOccurred())
	s.Expect(sent).To(BeNumerically("<", 32<<20)) // What the buffers of both hosts take.
	s.Expect(time.Since(begun)).To(BeNumerically("<", quietTime))
	s.Expect(s.connections.Counts().Open).To(BeZero())
}

// What net/http rejects by itself is closed at once, with what is behind it unread.
func TestAMalformedRequestLeavesTheResponsesBeforeItWhole(t *testing.T) {
	for name, malformed := range map[string]string{
		"malformed":      "GET / HTTP/1.1\r\nHost: h\r\nno field\r\n\r\n",
		"long head":      "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 20<<10) + "\r\n\r\n",
		"unknown coding": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: unknown\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			conn := s.dial(t)
			go io.WriteString(conn, get(fmt.Sprintf("/?bytes=%d", longBytes))+malformed+strings.Repeat(get("/behind"), 100)) // Ends with the connection.
			time.Sleep(100 * time.Millisecond)
			s.Expect(answers(conn)).To(MatchRegexp("^" + long + ", (400|431|501) with [0-9]+$"))
		})
	}
}

// The caller does not read in time, and goes on sending.
func TestAResponseThatIsNotWrittenInTimeLeavesThoseBeforeItWhole(t *testing.T) {
	const bytes = 20_000 // The caller's host does not take it, and the server's does.
	s := newSite(t)
	conn := s.dial(t)
	_, err := io.WriteString(conn, get(fmt.Sprintf("/?bytes=%d", bytes))+get("/?limited&bytes=20000000"))
	s.Expect(err).NotTo(HaveOccurred())
	stop := sendOn(conn, get("/behind"))
	time.Sleep(3 * writeTime)
	got := answers(conn)
	stop()
	s.Expect(got).To(MatchRegexp("^200 with %d, 200 cut at [0-9]+: unexpected EOF$", bytes))
}

func TestAResponseReachesACallerThatHasClosedItsSendingSide(t *testing.T) {
	s := newSite(t)
	conn := s.dial(t)
	_, err := io.WriteString(conn, get(fmt.Sprintf("/?bytes=%d&close", longBytes)))
	s.Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	s.Expect(conn.CloseWrite()).To(Succeed())
	s.Expect(answers(conn)).To(Equal(long))
	s.Eventually(func() int { return s.connections.Counts().Open }).Should(BeZero())
}

// A caller that goes on would otherwise be told that its next request was read.
func TestAnIdleConnectionIsClosedWithoutReadingFromIt(t *testing.T) {
	s := newSite(t)
	conn := s.dial(t)
	_, err := io.WriteString(conn, get("/?bytes=10"))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(answers(conn)).To(Equal("200 with 10"))
	s.Expect(s.connections.Counts()).To(BeZero())
}

func TestAConnectionThatItsCallerHasClosedDoesNotLinger(t *testing.T) {
	s := newSite(t)
	conn := s.dial(t)
	_, err := io.WriteString(conn, get("/?bytes=10"))
	s.Expect(err).NotTo(HaveOccurred())
	s.Eventually(func() int { return s.connections.Counts().Open }).Should(Equal(1))
	s.Expect(conn.Close()).To(Succeed())
	s.Eventually(func() int { return s.connections.Counts().Open }).Should(BeZero())
	s.Expect(s.connections.Counts().ClosedUnsent).To(BeZero())
}
