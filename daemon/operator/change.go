package operator

import (
	"context"
	"fmt"
	"strconv"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
	"guavacrank.example/config/edit"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/event"
)

// apply puts a configuration into force, or on a dry run reports what it would
// change.
func (s *Server) apply(ctx context.Context, request ApplyRequest) (ChangeResponse, error) {
	before, err := s.options.Revisions.Current(ctx)
	if err != nil {
		return ChangeResponse{}, err
	}
	change := revision.Change{
		ChangeID: request.ChangeID,
		Base:     request.Base,
		Author:   request.Author,
		Reason:   request.Reason,
		File:     request.File,
		YAML:     request.YAML,
	}
	if request.DryRun {
		return s.preview(ctx, change, before)
	}
	prior := s.priorStateOf(before)
	record, err := s.options.Revisions.Apply(ctx, change)
	return s.respond(prior, record, err)
}

// preview checks a change against the record in force and applies nothing.
func (s *Server) preview(ctx context.Context, change revision.Change, before config.Record) (ChangeResponse, error) {
	if err := s.options.Revisions.Check(ctx, change, before); err != nil {
		return ChangeResponse{}, err
	}
	response := s.priorStateOf(before).compare(config.Record{Revision: before.Revision, YAML: change.YAML})
	response.DryRun = true
	return response, nil
}

// rollback puts the text of an earlier revision into force.
func (s *Server) rollback(ctx context.Context, request RollbackRequest) (ChangeResponse, error) {
	before, err := s.options.Revisions.Current(ctx)
	if err != nil {
		return ChangeResponse{}, err
	}
	change := revision.Change{ChangeID: request.ChangeID, Base: request.Base, Author: request.Author, Reason: request.Reason}
	prior := s.priorStateOf(before)
	record, err := s.options.Revisions.Rollback(ctx, request.To, change)
	return s.respond(prior, record, err)
}

// drain starts or ends the draining of a backend server.
func (s *Server) drain(ctx context.Context, request DrainRequest) (ChangeResponse, error) {
	change := revision.Change{ChangeID: request.ChangeID, Author: request.Author, Reason: request.Reason, File: "in force"}
	response, err := s.edit(ctx, change, func(text string) (string, error) {
		return edit.SetDraining(text, request.Server, request.Draining)
	})
	if err == nil {
		s.options.OnEvent(event.New(event.ServerDrainChanged, request.Reason, "server", request.Server,
			"draining", strconv.FormatBool(request.Draining), "author", request.Author))
	}
	return response, err
}

// declareLost declares a VM, server, availability zone or region permanently lost.
func (s *Server) declareLost(ctx context.Context, request LostRequest) (ChangeResponse, error) {
	change := revision.Change{ChangeID: request.ChangeID, Author: request.Author, Reason: request.Reason, File: "in force"}
	lost := config.Lost{Kind: request.Kind, Name: request.Name, Reason: request.Reason}
	response, err := s.edit(ctx, change, func(text string) (string, error) {
		return edit.DeclareLost(text, lost)
	})
	if err == nil {
		s.options.OnEvent(event.New(event.LossDeclared, request.Reason, "kind", string(lost.Kind),
			"name", lost.Name, "author", request.Author))
	}
	return response, err
}

// edit applies an edit to the text in force.
func (s *Server) edit(ctx context.Context, change revision.Change, run func(string) (string, error)) (ChangeResponse, error) {
	var prior *priorState
	record, err := s.options.Revisions.Edit(ctx, change, func(text string) (string, error) {
		before := s.priorStateOf(config.Record{YAML: text})
		prior = &before
		return run(text)
	})
	if prior == nil { // The change had already been applied.
		before := s.priorStateOf(record)
		prior = &before
	}
	return s.respond(*prior, record, err)
}

// respond logs an accepted change and returns the response.
func (s *Server) respond(prior priorState, record config.Record, err error) (ChangeResponse, error) {
	if err != nil {
		return ChangeResponse{}, err
	}
	s.options.OnEvent(event.New(event.ConfigurationApplied, record.Reason,
		"revision", fmt.Sprint(record.Revision), "author", record.Author, "change", record.ChangeID))
	return prior.compare(record), nil
}

// priorState is the state before a change. The units of each server are counted
// before the change is applied, since it moves units within milliseconds.
type priorState struct {
	configuration *config.Configuration
	unitCounts    []diff.Holding
}

// priorStateOf returns the state before a change of the given record.
func (s *Server) priorStateOf(before config.Record) priorState {
	configuration, err := config.ParseConfiguration("before", []byte(before.YAML))
	if err != nil {
		return priorState{} // There is none, or only an earlier version of the program accepts it.
	}
	return priorState{configuration: configuration, unitCounts: s.unitCounts(configuration)}
}

// compare returns the differences from the prior state and their consequences.
func (p priorState) compare(after config.Record) ChangeResponse {
	response := ChangeResponse{Revision: after.Revision, ChangeID: after.ChangeID}
	current, err := config.ParseConfiguration("after", []byte(after.YAML))
	if err != nil {
		return response
	}
	response.Changes = diff.Compare(p.configuration, current)
	response.Consequences = diff.Assess(p.configuration, current, p.unitCounts)
	return response
}

// unitCounts counts the units that each server owns at the moment.
func (s *Server) unitCounts(c *config.Configuration) []diff.Holding {
	counts := make(map[string]int)
	for _, service := range c.Services {
		owners, known := s.options.Source.Owners(service.Name)
		if !known {
			continue
		}
		for _, unit := range owners.Units {
			counts[unit.Server]++
		}
	}
	unitCounts := make([]diff.Holding, 0, len(c.Servers))
	for _, server := range c.Servers {
		service, _ := c.Service(server.Service)
		if service.DividedByKey {
			unitCounts = append(unitCounts, diff.Holding{Server: server.Name, Units: counts[server.Name]})
		}
	}
	return unitCounts
}

// report emits the event of a failed change.
func (s *Server) report(problem *Problem) {
	numbers := map[Code]event.Number{
		CodeConflict:         event.ConfigurationConflict,
		CodeInvalid:          event.ConfigurationRefused,
		CodeStoreUnavailable: event.ConfigurationNotApplied,
		CodeUnknownOutcome:   event.ConfigurationOutcomeUnknown,
	}
	number, known := numbers[problem.Code]
	if !known {
		return
	}
	fields := []string{"code", string(problem.Code)}
	if len(problem.Faults) > 0 {
		fault := problem.Faults[0]
		fields = append(fields, "file", fault.File, "line", strconv.Itoa(fault.Line), "field", fault.Field)
	}
	s.options.OnEvent(event.New(number, problem.Message, fields...))
}
