package sockbuf

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/smallwindow"
)

// dial returns both ends of a TCP connection whose caller has little room.
func dial(t *testing.T) (caller, accepted net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err = smallwindow.Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		caller.Close()
		accepted.Close()
	})
	return caller, accepted
}

// bytesOf returns a function that fails the test if the system can't tell.
func bytesOf(g *GomegaWithT, ask func(net.Conn) (int, bool), conn net.Conn) func() int {
	return func() int {
		bytes, known := ask(conn)
		g.Expect(known).To(BeTrue())
		return bytes
	}
}

func TestUnreadAreTheBytesReceivedAndNotRead(t *testing.T) {
	g := NewWithT(t)
	caller, accepted := dial(t)
	unread := bytesOf(g, Unread, accepted)
	g.Expect(unread()).To(BeZero())
	_, err := io.WriteString(caller, "12345")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(unread).Should(Equal(5))
	_, err = accepted.Read(make([]byte, 2))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unread()).To(Equal(3))
}

func TestUnacknowledgedAreTheBytesThatTheOtherHostHasNoRoomFor(t *testing.T) {
	g := NewWithT(t)
	caller, accepted := dial(t)
	unacknowledged := bytesOf(g, Unacknowledged, accepted)
	const written = 10 * smallwindow.Bytes
	_, err := accepted.Write(make([]byte, written))
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(unacknowledged, "50ms").Should(BeNumerically(">", 0))
	_, err = io.CopyN(io.Discard, caller, written)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(unacknowledged).Should(BeZero())
}

func TestAConnectionThatIsNoSocketTellsNothing(t *testing.T) {
	g := NewWithT(t)
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	_, known := Unacknowledged(one)
	g.Expect(known).To(BeFalse())
	_, known = Unread(one)
	g.Expect(known).To(BeFalse())
}
