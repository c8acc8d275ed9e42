// Package stage starts gateways as separate processes between stand-ins on loopback
// addresses, for the cases of the review.
package stage

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	CantDo = 2
)

// Stage holds what one case has started.
type Stage struct {
	Store    *standin.Store
	Gateways []*Gateway
	Trouble  bool

	dir      string
	record   *os.File
	start    time.Time
	listener net.Listener
	mu       sync.Mutex
	atEnd    []func()
}

// Gateway is one process of the project.
type Gateway struct {
	Name, Callers, Ready string

	stage    *Stage
	file     string
	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	stopping bool
	// Ends counts how often the process ended without having been told to.
	Ends int
}

// New opens the record and starts the store, behind wrap if that is set.
func New(wrap func(store *standin.Store) http.Handler) (*Stage, error) {
	s := &Stage{Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if s.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	handler := http.Handler(s.Store)
	if wrap != nil {
		handler = wrap(s.Store)
	}
	go func() { _ = http.Serve(s.listener, handler) }() // Returns when the listener is closed.
	s.Note("trouble %v", s.Trouble)
	return s, nil
}

// Note writes a line to the record.
func (s *Stage) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f ", time.Since(s.start).Seconds())
	fmt.Fprintf(s.record, format+"\n", args...)
}

// AtEnd registers what Finish does.
func (s *Stage) AtEnd(f func()) { s.atEnd = append(s.atEnd, f) }

// Finish ends everything that was started and exits.
func (s *Stage) Finish(code int, format string, args ...any) {
	for _, g := range s.Gateways {
		g.kill()
	}
	for _, f := range s.atEnd {
		f()
	}
	_ = s.listener.Close()
	s.Note(format, args...)
	s.Note("exit %d", code)
	fmt.Printf(format+"\n", args...)
	_ = s.record.Close()
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.Rename(s.dir, dir)
	}
	_ = os.RemoveAll(s.dir)
	os.Exit(code)
}

// StartGateways starts processes and waits until they are ready.
func (s *Stage) StartGateways(count int) error {
	var peers []string
	var addresses [][4]string
	for range count {
		var a [4]string
		for at := range a {
			address, err := standin.FreeAddress()
			if err != nil {
				return err
			}
			a[at] = address
		}
		addresses = append(addresses, a)
		peers = append(peers, strconv.Quote(a[2]))
	}
	for at, a := range addresses {
		g := &Gateway{Name: fmt.Sprintf("vm-%d", at), Callers: a[0], Ready: a[1], stage: s}
		g.file = filepath.Join(s.dir, g.Name+".yaml")
		text := fmt.Sprintf(settingsFormat, g.Name, a[0], a[1], a[2], a[3], strings.Join(peers, ","), true, s.listener.Addr().String())
		if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
			return err
		}
		if err := g.run(); err != nil {
			return err
		}
		s.Gateways = append(s.Gateways, g)
	}
	for _, g := range s.Gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) run() error {
	output, err := os.OpenFile(filepath.Join(g.stage.dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/guavacrankd", "-gateway", "-settings", g.file)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.command, g.ended = command, ended
	g.mu.Unlock()
	g.stage.Note("%s starts", g.Name)
	go func() {
		err := command.Wait()
		g.mu.Lock()
		stopping := g.stopping
		if !stopping {
			g.Ends++
		}
		g.mu.Unlock()
		if !stopping {
			g.stage.Note("%s ended: %v", g.Name, err)
		}
		close(ended)
	}()
	return nil
}

// Restart starts the process again after it has ended.
func (g *Gateway) Restart() error {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	<-ended
	return g.run()
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.command.Process.Signal(sig) // The process may have ended.
}

func (g *Gateway) kill() {
	g.mu.Lock()
	g.stopping = true
	ended := g.ended
	_ = g.command.Process.Kill() // The process may have ended.
	g.mu.Unlock()
	<-ended
}

// Resident returns the process's resident memory in MB.
func (g *Gateway) Resident() int {
	g.mu.Lock()
	pid := g.command.Process.Pid
	g.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// AwaitReady waits until the process says that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.Ready + Wire.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Name, limit)
}
