package run

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// oddRecords are records of which no entry names a server; the error is the value.
type oddRecords struct{ port.Records }

func (oddRecords) Server(entry kvstore.Entry) (model.Server, error) {
	return model.Server{}, errors.New(string(entry.Value))
}

func TestOddEntriesAreLoggedOnceAndForgottenWithTheEntry(t *testing.T) {
	g := NewWithT(t)
	l := newTestLoop(t, 0)
	l.records = oddRecords{}
	l.ignoredVersions = make(map[string]kvstore.Version)
	lines := func() int64 { written, dropped := l.log.Counts(); return written + dropped }
	read := func(version int, keys ...string) {
		var entries []kvstore.Entry
		for _, key := range keys {
			entries = append(entries, kvstore.Entry{Key: key, Value: []byte("no address"), Version: kvstore.Version(version)})
		}
		serversRead{entries: entries}.apply(l)
	}
	l.leading = true
	for version := range 100 {
		read(version, "a", "b") // Written again at each heartbeat.
	}
	g.Expect(lines()).To(BeEquivalentTo(2))
	for version := range 1000 {
		read(version, fmt.Sprintf("odd-%d", version))
	}
	g.Expect(len(l.ignoredServers) + len(l.ignoredVersions)).To(BeNumerically("<=", 1))
}

// On a virtual clock, so that the log does not report meanwhile how many lines it left out.
func TestManyOddEntriesLeaveRoomInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newTestLoop(t, 0)
		log := logbook.New(io.Discard)
		t.Cleanup(func() { log.Close(time.Second) })
		l.records, l.log, l.leading = oddRecords{}, log, true
		l.ignoredVersions = make(map[string]kvstore.Version)
		var entries []kvstore.Entry
		for at := range 2000 {
			entries = append(entries, kvstore.Entry{Key: fmt.Sprint(at), Value: []byte("no address"), Version: 1})
		}
		serversRead{entries: entries}.apply(l)
		written, _ := log.Counts()
		l.stopLeading("a decision")
		after, _ := log.Counts()
		g.Expect(after).To(Equal(written + 1))
	})
}
