package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// Paths of the controller's HTTP interface.
const (
	PathServers = "/standin/v1/servers" // GET: the servers' state.
	PathRuns    = "/standin/v1/runs"    // GET: every run; DELETE: forget them.
)

// State is one server's state as the controller shows it.
type State struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	Running bool   `json:"running"`
	Checks  bool   `json:"checks_grants"`
	Faults  Faults `json:"faults"`
}

// Controller causes faults at a group of servers and shows their records over
// HTTP, on a listener of its own.
//
//	GET  /standin/v1/servers                  []State
//	POST /standin/v1/servers/NAME/kill        also start, freeze, thaw
//	PUT  /standin/v1/servers/NAME/faults      Faults
//	GET  /standin/v1/runs                     []Run
//	DELETE /standin/v1/runs
type Controller struct {
	servers map[string]*Server
	records *Records
	mux     *http.ServeMux
}

// NewController returns a controller of servers that share records.
func NewController(servers []*Server, records *Records) *Controller {
	c := &Controller{servers: make(map[string]*Server), records: records, mux: http.NewServeMux()}
	for _, server := range servers {
		c.servers[server.Name()] = server
	}
	c.mux.HandleFunc("GET "+PathServers, c.list)
	c.mux.HandleFunc("POST "+PathServers+"/{name}/{action}", c.act)
	c.mux.HandleFunc("PUT "+PathServers+"/{name}/faults", c.setFaults)
	c.mux.HandleFunc("GET "+PathRuns, c.listRuns)
	c.mux.HandleFunc("DELETE "+PathRuns, c.forgetRuns)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

func (c *Controller) list(w http.ResponseWriter, _ *http.Request) {
	states := make([]State, 0, len(c.servers))
	for _, server := range c.servers {
		states = append(states, State{
			Name:    server.Name(),
			Service: server.options.Service,
			Address: server.Address(),
			Running: server.Running(),
			Checks:  server.options.ChecksGrants,
			Faults:  server.Faults(),
		})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, states)
}

func (c *Controller) act(w http.ResponseWriter, r *http.Request) {
	server, ok := c.servers[r.PathValue("name")]
	if !ok {
		http.Error(w, "unknown server", http.StatusNotFound)
		return
	}
	switch r.PathValue("action") {
	case "kill":
		server.Kill()
	case "start":
		if err := server.Start(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
	case "freeze":
		server.Freeze()
	case "thaw":
		server.Thaw()
	default:
		http.Error(w, "unknown action: want kill, start, freeze or thaw", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Controller) setFaults(w http.ResponseWriter, r *http.Request) {
	server, ok := c.servers[r.PathValue("name")]
	if !ok {
		http.Error(w, "unknown server", http.StatusNotFound)
		return
	}
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	server.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Controller) listRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.records.Runs()) }

func (c *Controller) forgetRuns(w http.ResponseWriter, _ *http.Request) {
	c.records.Reset()
	w.WriteHeader(http.StatusNoContent)
}
