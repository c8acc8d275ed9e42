package memory_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/memory"
)

const (
	// processBytes is the memory limit of the process in these tests.
	processBytes = 64 << 20
	// maxHeldBytes is the limit of all holdings: 3/8, and 1/64 for small ones.
	maxHeldBytes = processBytes*3/8 + processBytes/64
)

func newAccount() *memory.Account { return memory.NewAccount(processBytes) }

func held(a *memory.Account) (sum int64) {
	for _, usage := range a.Usage() {
		sum += usage.Held
	}
	return sum
}

func TestBodiesAreReadUnchanged(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewSource(1))
	for range 300 {
		sent := make([]byte, random.Intn(300_000))
		_, _ = random.Read(sent) // Never fails.
		declared := int64(len(sent))
		if random.Intn(2) == 0 {
			declared = -1
		}
		var source io.Reader = bytes.NewReader(sent)
		if random.Intn(2) == 0 {
			source = iotest.HalfReader(iotest.DataErrReader(source))
		}
		a := newAccount()
		body, err := memory.ReadBody(a.Hold(memory.Responses), source, declared, processBytes)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body.Len()).To(Equal(int64(len(sent))))
		g.Expect(held(a)).To(BeNumerically(">=", len(sent)))
		g.Expect(iotest.TestReader(onlyReader{body.NewReader()}, sent)).To(Succeed())
		var written bytes.Buffer
		_, err = io.Copy(&written, body.NewReader())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(written.Bytes(), sent)).To(BeTrue())
		body.Release()
		body.Release()
		g.Expect(held(a)).To(BeZero())
	}
}

// onlyReader hides the other methods of a reader.
type onlyReader struct{ io.Reader }

// endlessReader reads zeros and records the most that was read without being counted.
type endlessReader struct {
	account         *memory.Account
	read, uncounted int64
}

func (r *endlessReader) Read(p []byte) (int, error) {
	clear(p)
	r.read += int64(len(p))
	r.uncounted = max(r.uncounted, r.read-held(r.account))
	return len(p), nil
}

func TestEndlessBodiesAreCountedBeforeTheyAreRead(t *testing.T) {
	for name, limit := range map[string]int64{"up to the limit of one": 3 << 20, "up to the limit of all": processBytes} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := newAccount()
			source := &endlessReader{account: a}
			_, err := memory.ReadBody(a.Hold(memory.Responses), source, -1, limit)
			g.Expect(err).To(HaveOccurred())
			g.Expect(source.uncounted).To(BeZero())
			g.Expect(source.read).To(BeNumerically("<=", min(limit, processBytes/4)+64<<10))
			g.Expect(held(a)).To(BeZero())
		})
	}
}

// readyReader is a long body whose bytes are there whenever they are asked for.
type readyReader struct {
	read *atomic.Int64 // By all readers.
	done *atomic.Bool
}

func (r readyReader) Read(p []byte) (int, error) {
	if r.done.Load() {
		return 0, io.EOF
	}
	n := min(len(p), 4<<10)
	clear(p[:n])
	r.read.Add(int64(n))
	return n, nil
}

func TestLongBodiesDoNotKeepOthersFromTheProcessor(t *testing.T) {
	g := NewWithT(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const readers, turns, longBytes, turnBytes = 8, 50, 4 << 20, 16 << 10
	var read atomic.Int64
	var done atomic.Bool
	var all sync.WaitGroup
	for range readers {
		all.Go(func() {
			_, _ = memory.ReadBody((*memory.Account)(nil).Hold(memory.Responses), readyReader{&read, &done}, -1, longBytes) // Its outcome is of no interest.
		})
	}
	for range turns {
		runtime.Gosched()
	}
	between := read.Load() / turns
	done.Store(true)
	all.Wait()
	g.Expect(between).To(BeNumerically(">", 0))
	g.Expect(between).To(BeNumerically("<=", readers*turnBytes), "bytes read between two turns of another goroutine")
}

func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	g := NewWithT(t)
	var refused []memory.Kind
	a := newAccount()
	a.OnRefused(func(kind memory.Kind) { refused = append(refused, kind) })
	for _, kind := range []memory.Kind{memory.RequestBodies, memory.Responses, memory.ResponseHeaders} {
		for a.Hold(kind).Reserve(64<<10) == nil {
			continue
		}
	}
	g.Expect(refused).To(HaveLen(3))
	var noRoom memory.NoRoomError
	g.Expect(errors.As(a.Hold(memory.Responses).Reserve(17<<10), &noRoom)).To(BeTrue())
	g.Expect(noRoom.Kind).To(Equal(memory.Responses))
	for range 100 {
		g.Expect(a.Hold(memory.Responses).Grow(4 << 10)).To(Succeed())
	}
	g.Expect(held(a)).To(BeNumerically("<=", maxHeldBytes))
	g.Expect(a.Usage()["responses"].Refused).To(BeEquivalentTo(2))
}

func TestADeclaredLengthIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	a := newAccount()
	holding := a.Hold(memory.RequestBodies)
	g.Expect(holding.Reserve(1 << 20)).To(Succeed())
	body, err := memory.ReadBody(holding, bytes.NewReader(make([]byte, 1<<20)), 1<<20, 1<<20)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held(a)).To(BeNumerically("<", 1<<20+1<<10))
	body.Release()
	g.Expect(held(a)).To(BeZero())
}

func TestTheSumOfAllHoldingsStaysWithinItsLimit(t *testing.T) {
	g := NewWithT(t)
	a := newAccount()
	var all sync.WaitGroup
	for seed := range 8 {
		all.Go(func() {
			random := rand.New(rand.NewSource(int64(seed)))
			for range 2000 {
				holding := a.Hold(memory.Kind(random.Intn(3)))
				for holding.Grow(random.Int63n(2<<20)) == nil && random.Intn(8) > 0 {
					continue
				}
				if held(a) > maxHeldBytes {
					t.Error("more is held than the limit")
				}
				holding.Release()
			}
		})
	}
	all.Wait()
	g.Expect(held(a)).To(BeZero())
}

func TestTheLongestBodyOfTheUsualLimitHasRoomOnASmallVM(t *testing.T) {
	g := NewWithT(t)
	a := memory.NewAccount(284 << 20)
	g.Expect(a.Hold(memory.RequestBodies).Reserve(64 << 20)).To(Succeed())
}
