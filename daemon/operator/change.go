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

// apply puts a configuration into force, or tells what it would change.
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
	replaced := s.replacing(before)
	record, err := s.options.Revisions.Apply(ctx, change)
	return s.applied(replaced, record, err)
}

// preview checks a change against the record in force and applies nothing.
func (s *Server) preview(ctx context.Context, change revision.Change, before config.Record) (ChangeResponse, error) {
	if err := s.options.Revisions.Check(ctx, change, before); err != nil {
		return ChangeResponse{}, err
	}
	answer := s.replacing(before).compare(config.Record{Revision: before.Revision, YAML: change.YAML})
	answer.DryRun = true
	return answer, nil
}

// rollback puts the text of an earlier revision into force.
func (s *Server) rollback(ctx context.Context, request RollbackRequest) (ChangeResponse, error) {
	before, err := s.options.Revisions.Current(ctx)
	if err != nil {
		return ChangeResponse{}, err
	}
	change := revision.Change{ChangeID: request.ChangeID, Base: request.Base, Author: request.Author, Reason: request.Reason}
	replaced := s.replacing(before)
	record, err := s.options.Revisions.Rollback(ctx, request.To, change)
	return s.applied(replaced, record, err)
}

// drain starts or ends the draining of a backend server.
func (s *Server) drain(ctx context.Context, request DrainRequest) (ChangeResponse, error) {
	change := revision.Change{ChangeID: request.ChangeID, Author: request.Author, Reason: request.Reason, File: "in force"}
	applied, err := s.edit(ctx, change, func(text string) (string, error) {
		return edit.SetDraining(text, request.Server, request.Draining)
	})
	if err == nil {
		s.options.OnEvent(event.New(event.ServerDrainChanged, request.Reason, "server", request.Server,
			"draining", strconv.FormatBool(request.Draining), "author", request.Author))
	}
	return applied, err
}

// declareLost adds an operator's word that something is gone for good.
func (s *Server) declareLost(ctx context.Context, request LostRequest) (ChangeResponse, error) {
	change := revision.Change{ChangeID: request.ChangeID, Author: request.Author, Reason: request.Reason, File: "in force"}
	lost := config.Lost{Kind: request.Kind, Name: request.Name, Reason: request.Reason}
	applied, err := s.edit(ctx, change, func(text string) (string, error) {
		return edit.DeclareLost(text, lost)
	})
	if err == nil {
		s.options.OnEvent(event.New(event.LossDeclared, request.Reason, "kind", string(lost.Kind),
			"name", lost.Name, "author", request.Author))
	}
	return applied, err
}

// edit changes single facts of the text in force.
func (s *Server) edit(ctx context.Context, change revision.Change, run func(string) (string, error)) (ChangeResponse, error) {
	var replaced *replacement
	record, err := s.options.Revisions.Edit(ctx, change, func(text string) (string, error) {
		before := s.replacing(config.Record{YAML: text})
		replaced = &before
		return run(text)
	})
	if replaced == nil { // The change was in force already.
		before := s.replacing(record)
		replaced = &before
	}
	return s.applied(*replaced, record, err)
}

// applied reports an accepted change.
func (s *Server) applied(replaced replacement, record config.Record, err error) (ChangeResponse, error) {
	if err != nil {
		return ChangeResponse{}, err
	}
	s.options.OnEvent(event.New(event.ConfigurationApplied, record.Reason,
		"revision", fmt.Sprint(record.Revision), "author", record.Author, "change", record.ChangeID))
	return replaced.compare(record), nil
}

// replacement is what a change replaces. Holdings are taken before the change
// is applied, since it moves them within milliseconds.
type replacement struct {
	configuration *config.Configuration
	holdings      []diff.Holding
}

// replacing notes what a change is about to replace.
func (s *Server) replacing(before config.Record) replacement {
	configuration, err := config.ParseConfiguration("before", []byte(before.YAML))
	if err != nil {
		return replacement{} // None, or one that only an earlier version accepts.
	}
	return replacement{configuration: configuration, holdings: s.holdings(configuration)}
}

// compare tells what a record changes and what follows from it.
func (r replacement) compare(after config.Record) ChangeResponse {
	answer := ChangeResponse{Revision: after.Revision, ChangeID: after.ChangeID}
	current, err := config.ParseConfiguration("after", []byte(after.YAML))
	if err != nil {
		return answer
	}
	answer.Changes = diff.Compare(r.configuration, current)
	answer.Consequences = diff.Assess(r.configuration, current, r.holdings)
	return answer
}

// holdings counts what each server owns now.
func (s *Server) holdings(c *config.Configuration) []diff.Holding {
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
	holdings := make([]diff.Holding, 0, len(c.Servers))
	for _, server := range c.Servers {
		service, _ := c.Service(server.Service)
		if service.DividedByKey {
			holdings = append(holdings, diff.Holding{Server: server.Name, Units: counts[server.Name]})
		}
	}
	return holdings
}

// report writes the event of a change that failed.
func (s *Server) report(problem *Problem) {
	numbers := map[Code]event.Number{
		CodeConflict:         event.ConfigurationConflict,
		CodeInvalid:          event.ConfigurationRefused,
		CodeStoreUnavailable: event.ConfigurationFailed,
		CodeUnknownOutcome:   event.ConfigurationUnknown,
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
