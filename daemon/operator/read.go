package operator

import (
	"net/http"
	"slices"
	"strconv"

	"guavacrank.example/config"
	"guavacrank.example/event"
)

func (s *Server) version(*http.Request) (Version, error) {
	return Version{Interface: InterfaceVersion, Build: s.options.Build}, nil
}

func (s *Server) status(*http.Request) (Status, error) {
	status := s.options.Source.Status()
	status.Build = s.options.Build
	_, inForce := s.options.Source.Configuration()
	if inForce == nil {
		return status, nil
	}
	for _, lost := range inForce.Lost {
		status.Lost = append(status.Lost, LostStatus{Kind: lost.Kind, Name: lost.Name, Reason: lost.Reason})
	}
	for _, exception := range inForce.ExpiredExceptions(s.options.Now()) {
		row := ExceptionStatus{For: exception.Selector(), Reason: exception.Reason, Until: exception.Until}
		status.ExpiredExceptions = append(status.ExpiredExceptions, row)
	}
	return status, nil
}

func (s *Server) owners(r *http.Request) (Owners, error) {
	service := r.URL.Query().Get("service")
	owners, known := s.options.Source.Owners(service)
	if !known {
		return owners, problemf(CodeNotFound, "service %q is not declared", service)
	}
	return owners, nil
}

func (s *Server) explain(r *http.Request) (Explanation, error) {
	query := r.URL.Query()
	service, key := query.Get("service"), query.Get("key")
	if key == "" {
		return Explanation{}, problemf(CodeMalformed, "the key is missing")
	}
	explanation, known := s.options.Source.Explain(service, key)
	if !known {
		return explanation, problemf(CodeNotFound, "service %q is not declared", service)
	}
	explanation.Changes = s.changesOf(service)
	return explanation, nil
}

// changesOf returns the most recent events of a service, newest first.
func (s *Server) changesOf(service string) []LoggedEvent {
	next := s.options.Source.NextEvent()
	from := next - min(next, explainedEvents)
	var changes []LoggedEvent
	for _, logged := range slices.Backward(s.options.Source.Events(from, explainedEvents)) {
		if len(changes) < explainedChanges && slices.Contains(logged.Fields, event.Field{Name: "service", Value: service}) {
			changes = append(changes, describe(logged))
		}
	}
	return changes
}

func (s *Server) events(r *http.Request) (Events, error) {
	from, err := uintParameter(r, "from", 1)
	if err != nil {
		return Events{}, err
	}
	limit, err := uintParameter(r, "limit", MaxEvents)
	if err != nil {
		return Events{}, err
	}
	from = max(from, 1)
	found := s.options.Source.Events(from, int(min(limit, MaxEvents)))
	response := Events{VM: s.options.Source.Status().VM, Next: from, Events: make([]LoggedEvent, 0, len(found))}
	for _, logged := range found {
		response.Events = append(response.Events, describe(logged))
		response.Next = logged.Cursor + 1
	}
	if len(found) > 0 {
		response.Missed = found[0].Cursor - from
	}
	if next := s.options.Source.NextEvent(); from > next {
		response.Next = next // The daemon has restarted, so its cursors start at 1 again.
	}
	return response, nil
}

// describe adds the name and level from the event catalogue.
func describe(logged LoggedEvent) LoggedEvent {
	definition, _ := event.Lookup(logged.Number)
	logged.Name = definition.Name
	logged.Level = definition.Level.String()
	return logged
}

// uintParameter parses an unsigned integer from the query; fallback is its value
// if it is absent.
func uintParameter(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, problemf(CodeMalformed, "%s: %q is no number", name, text)
	}
	return value, nil
}

func (s *Server) record(r *http.Request) (config.Record, error) {
	requested, err := uintParameter(r, "revision", 0)
	if err != nil {
		return config.Record{}, err
	}
	if requested != 0 {
		return s.options.Revisions.Revision(r.Context(), config.Revision(requested))
	}
	record, err := s.options.Revisions.Current(r.Context())
	if err == nil && record.Revision == 0 {
		err = problemf(CodeNotFound, "no configuration was applied yet")
	}
	return record, err
}

func (s *Server) history(r *http.Request) (History, error) {
	revisions, err := s.options.Revisions.History(r.Context())
	return History{Revisions: revisions}, err
}
