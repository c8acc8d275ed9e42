package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/run"
)

// maxExplanationBytes limits the answer that is read.
const maxExplanationBytes = 16 << 20

func explainCommand() Command {
	return Command{
		Name:      "explain",
		Arguments: "[SERVICE KEY]",
		Summary:   "Tell which backend server serves a key or, with -vm, where a request would go, and why",
		Examples: []string{
			"guavacrankctl explain catalogue design/sinterklaas",
			"guavacrankctl explain -vm 10.0.0.7:20204 -host shop.example -path /cart/ -key 4711 -deadline 800ms",
		},
		Setup: func(flags *flag.FlagSet) Run {
			request := addRequest(flags)
			explainKey := reading(flags, []string{"SERVICE", "KEY"}, func(ctx context.Context, caller *client.Client, args []string) (operator.Explanation, error) {
				return caller.Explain(ctx, args[0], args[1])
			}, printExplanation)
			format := flags.Lookup("output").Value
			flags.Var(format, "o", "`format`, short for -output")
			return func(ctx context.Context, env *Environment, args []string) error {
				if !request.given() {
					return explainKey(ctx, env, args)
				}
				return request.explain(ctx, env, args, &outputFlag{format.String()})
			}
		},
	}
}

// requestFlags describe a request and the VM that is asked about it.
type requestFlags struct {
	vm, host, path, key, deadline string
}

// addRequest declares the flags that describe a request.
func addRequest(flags *flag.FlagSet) *requestFlags {
	request := new(requestFlags)
	flags.StringVar(&request.vm, "vm", "", "metrics `IP:port` of the VM to ask where a request would go")
	flags.StringVar(&request.host, "host", "", "`host` of the request")
	flags.StringVar(&request.path, "path", "", "`path` of the request")
	flags.StringVar(&request.key, "key", "", "`number` of the request's key, 0 to 65535")
	flags.StringVar(&request.deadline, "deadline", "", "`time` that the caller gives, such as 800ms")
	return request
}

// given reports whether the flags describe a request.
func (r *requestFlags) given() bool { return *r != requestFlags{} }

// check reports the first flag that is not valid.
func (r *requestFlags) check() error {
	if _, err := netip.ParseAddrPort(r.vm); err != nil {
		return badUse("-vm %q is not an IP number and port such as 10.0.0.7:20204", r.vm)
	}
	if r.host == "" {
		return badUse("-host is missing")
	}
	if !strings.HasPrefix(r.path, "/") {
		return badUse("-path %q does not begin with a slash", r.path)
	}
	if _, err := strconv.ParseUint(r.key, 10, 16); r.key != "" && err != nil {
		return badUse("-key %q is not a number from 0 to 65535", r.key)
	}
	if left, err := time.ParseDuration(r.deadline); r.deadline != "" && (err != nil || left <= 0 || left > time.Hour) {
		return badUse("-deadline %q is not a duration above 0 and up to an hour, such as 800ms", r.deadline)
	}
	return nil
}

// explain asks the VM and prints its answer.
func (r *requestFlags) explain(ctx context.Context, env *Environment, args []string, output *outputFlag) error {
	if len(args) > 0 {
		return badUse("-vm asks about a request: no SERVICE and KEY beside it, got %q", args)
	}
	if err := r.check(); err != nil {
		return err
	}
	answer, err := r.ask(ctx)
	if err != nil {
		return err
	}
	return output.print(env.Stdout, answer, func(w io.Writer) { printRequestExplanation(w, answer) })
}

// ask asks the VM where the request would go.
func (r *requestFlags) ask(ctx context.Context) (*dispatch.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, client.DefaultTimeout)
	defer cancel()
	query := url.Values{"host": {r.host}, "path": {r.path}, "key": {r.key}, "deadline": {r.deadline}}
	target := url.URL{Scheme: "http", Host: r.vm, Path: run.ExplainPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("no VM answers at -vm %s: %w", r.vm, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of -vm %s: %w", r.vm, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("-vm %s answers %s: %s", r.vm, response.Status, strings.TrimSpace(string(body)))
	}
	answer := new(dispatch.Explanation)
	if err := json.Unmarshal(body, answer); err != nil {
		return nil, fmt.Errorf("answer of -vm %s: %w", r.vm, err)
	}
	return answer, nil
}

func printRequestExplanation(w io.Writer, e *dispatch.Explanation) {
	row(w, "configuration", e.Configuration)
	if route := e.Route; route != nil {
		row(w, "route", fmt.Sprintf("%s: host %s, path %s, %s, priority %d", route.Name, route.Host, route.PathPrefix, route.Kind, route.Priority))
		row(w, "homes", listOr(route.Regions, "all regions"))
		row(w, "time", fmt.Sprintf("%.0f ms left, objective %.0f ms, %d attempts", route.TimeLeft, route.Objective, route.MaxAttempts))
	}
	row(w, "evacuated zones", listOr(e.EvacuatedZones, "none"))
	if e.Reason != "" {
		row(w, "refused", e.Reason)
	}
	for i := range e.Parts {
		printPart(w, &e.Parts[i])
	}
}

func printPart(w io.Writer, part *dispatch.ExplainedPart) {
	fmt.Fprintln(w)
	row(w, "service", fmt.Sprintf("%s, %.1f%% of the route", part.Service, 100*part.Share))
	row(w, string(part.Ending), part.Reason)
	if part.Server != "" {
		row(w, "server", fmt.Sprintf("%s, expected %.1f ms", part.Server, part.Expected))
	}
	if part.Ending == dispatch.Drawn {
		row(w, "room for", fmt.Sprintf("%.1f%% of such requests", 100*part.Sent))
	}
	if part.Code != "" {
		row(w, "refusal", fmt.Sprintf("%s, Retry-After about %.0f ms", part.Code, part.RetryAfter))
	}
	if r := part.Range; r != nil {
		row(w, "keys", fmt.Sprintf("%d to %d of %s, earlier holders: %s", r.From, r.To, r.Owner, listOr(r.Prior, "none")))
	}
	if room := part.Room; room != nil {
		row(w, "room", fmt.Sprintf("%.1f/s, demand %.1f/s, %.1f in system, %d slots", room.Throughput, room.Demand, room.InSystem, room.Slots))
	}
	if len(part.Candidates) == 0 {
		return
	}
	row(w, "\nSERVER", "ZONE", "DISTANCE", "SERVICE MS", "RATE", "ARRIVAL", "FAILURES", "IN FLIGHT", "LIMIT", "WEIGHT", "SHARE", "NOTES")
	for _, server := range part.Candidates {
		printCandidate(w, server)
	}
}

// printCandidate prints a server; what is not learned is shown as a dash.
func printCandidate(w io.Writer, server dispatch.ExplainedServer) {
	serviceTime, rate, arrival, failures, limit := "-", "-", "-", "-", "-"
	if server.Learned {
		serviceTime, rate = fmt.Sprintf("%.1f", server.ServiceTime), fmt.Sprintf("%.1f", server.Rate)
		arrival, failures = fmt.Sprintf("%.1f", server.Arrival), fmt.Sprintf("%.2f", server.Failures)
	}
	if server.Limit != nil {
		limit = fmt.Sprintf("%.1f", *server.Limit)
	}
	row(w, server.ID, server.Zone, server.Distance, serviceTime, rate, arrival, failures, server.InFlight, limit,
		fmt.Sprintf("%.2f", server.Weight), fmt.Sprintf("%.0f%%", 100*server.Share), strings.Join(server.Notes, ", "))
}

// listOr returns names separated by commas, or a word for none.
func listOr(names []string, none string) string {
	if len(names) == 0 {
		return none
	}
	return strings.Join(names, ", ")
}
