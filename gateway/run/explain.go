package run

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/front"
)

// ExplainPath is the path on the metrics address at which a VM says what it would do with a
// request. Its query parameters are those of dispatch.Question: host, path, key and deadline.
const ExplainPath = "/explain"

// ParameterError says that a query parameter is not valid.
type ParameterError struct {
	Name, Value, Want string
}

// Error implements error.
func (e ParameterError) Error() string {
	return fmt.Sprintf("query parameter %s: %q is not %s", e.Name, e.Value, e.Want)
}

// serveExplain says what would happen to a request. It sends nothing and changes nothing.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	question, err := readQuestion(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := g.dispatcher.Explain(question)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer.EvacuatedZones = g.loop.servers.evacuatedNow()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.shared.log.Event(event.MetricsNotSent, err.Error(), zap.String("address", g.options.Settings.Listen.Metrics))
	}
}

// readQuestion reads the query parameters of a request to ExplainPath.
func readQuestion(query url.Values) (dispatch.Question, error) {
	question := dispatch.Question{Host: query.Get("host"), Path: query.Get("path"), Timeout: front.DefaultTimeout}
	if question.Host == "" {
		return question, ParameterError{"host", "", "a host name"}
	}
	if !strings.HasPrefix(question.Path, "/") {
		return question, ParameterError{"path", question.Path, "a path that begins with a slash"}
	}
	question.Path, _, _ = strings.Cut(question.Path, "?")
	if text := query.Get("key"); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return question, ParameterError{"key", text, "a number from 0 to 65535"}
		}
		question.Key, question.HasKey = uint16(key), true
	}
	if text := query.Get("deadline"); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > time.Hour {
			return question, ParameterError{"deadline", text, "a duration above 0 and up to an hour, such as 800ms"}
		}
		question.Timeout = timeout
	}
	return question, nil
}
