package run

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newBoundedTable returns a table of servers of service "s" in a process with 4000
// descriptors, and what it logs.
func newBoundedTable(t *testing.T, servers int) (*serverTable, *logbook.Logger, *lockedBuffer) {
	output := &lockedBuffer{}
	log := logbook.New(output)
	t.Cleanup(func() { log.Close(time.Second) })
	table := newServerTable(&model.Settings{MaxDescriptors: 4000}, nil, log)
	var listed []model.Server
	for at := range servers {
		listed = append(listed, model.Server{ID: fmt.Sprintf("i-%d", at), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", at), Slots: 4})
	}
	table.update(time.Second, listed, false)
	return table, log, output
}

// Guards against a configuration whose connections take all descriptors of the process.
func TestConnectionsOfAConfigurationAreBoundedByDescriptors(t *testing.T) {
	for _, c := range []struct {
		servers, configured, vms, limit int
	}{
		{servers: 10, configured: 56, vms: 1, limit: 28},
		{servers: 10, configured: 56, vms: 12, limit: 4},
		{servers: 10, configured: 56, vms: 20, limit: 2},
		{servers: 10, configured: 56, vms: 48, limit: 1},
		{servers: 10, configured: 56, vms: 300, limit: 1},
		{servers: 10, configured: 400, vms: 1, limit: 200},
		{servers: 10, configured: 402, vms: 1, limit: 200},
		{servers: 10, configured: 1 << 40, vms: 1, limit: 200},
		{servers: 100, configured: 56, vms: 1, limit: 20},
		{servers: 1000, configured: 1 << 40, vms: 1, limit: minConnections},
		{servers: 1, configured: 0, vms: 1, limit: 500},
		{servers: 100, configured: 0, vms: 1, limit: 20},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			g := NewWithT(t)
			table, _, _ := newBoundedTable(t, c.servers)
			g.Expect(table.connectionLimit("s", model.Service{MaxConnections: c.configured}, c.vms)).To(Equal(c.limit))
		})
	}
}

// Guards against a server that resets grants and releases since the VMs' connections for requests
// fill its cap.
func TestConnectionsOfAllVMsLeaveRoomForTheLeadersCalls(t *testing.T) {
	g := NewWithT(t)
	table, _, _ := newBoundedTable(t, 10)
	for configured := 2; configured <= 200; configured++ {
		for vms := 1; vms < configured; vms++ {
			all := vms * table.connectionLimit("s", model.Service{MaxConnections: configured}, vms)
			g.Expect(all).To(BeNumerically("<", configured), "%d VMs, cap %d", vms, configured)
		}
	}
}

func TestABoundOfConnectionsIsLoggedOnceForEachValue(t *testing.T) {
	g := NewWithT(t)
	table, log, output := newBoundedTable(t, 10)
	for _, configured := range []int{1 << 20, 1 << 20, 56, 1 << 20, 1 << 21} {
		table.available("s", model.Service{MaxConnections: configured}, 1)
	}
	log.Close(time.Second)
	g.Expect(strings.Count(output.String(), `"event":746`)).To(Equal(3), output.String())
	g.Expect(output.String()).To(ContainSubstring(`"limit":200`))
}
