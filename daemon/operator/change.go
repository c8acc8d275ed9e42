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
func (s *Server) apply(ctx context.Context, request ApplyRequest) (Applied, error) {
	before, err := s.options.Keeper.Current(ctx)
	if err != nil {
		return Applied{}, err
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
	record, err := s.options.Keeper.Apply(ctx, change)
	return s.applied(before, record, err)
}

// preview checks a change against the record in force and applies nothing.
func (s *Server) preview(ctx context.Context, change revision.Change, before config.Record) (Applied, error) {
	if err := s.options.Keeper.Check(ctx, change, before); err != nil {
		return Applied{}, err
	}
	answer := s.compare(before, config.Record{Revision: before.Revision, YAML: change.YAML})
	answer.DryRun = true
	return answer, nil
}

// rollback puts the text of an earlier revision into force.
func (s *Server) rollback(ctx context.Context, request RollbackRequest) (Applied, error) {
	before, err := s.options.Keeper.Current(ctx)
	if err != nil {
		return Applied{}, err
	}
	change := revision.Change{ChangeID: request.ChangeID, Base: request.Base, Author: request.Author, Reason: request.Reason}
	record, err := s.options.Keeper.Rollback(ctx, request.To, change)
	return s.applied(before, record, err)
}

// drain starts or ends the draining of a backend server.
func (s *Server) drain(ctx context.Context, request DrainRequest) (Applied, error) {
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
func (s *Server) declareLost(ctx context.Context, request LostRequest) (Applied, error) {
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
func (s *Server) edit(ctx context.Context, change revision.Change, run func(string) (string, error)) (Applied, error) {
	var before config.Record
	record, err := s.options.Keeper.Edit(ctx, change, func(text string) (string, error) {
		before = config.Record{YAML: text}
		return run(text)
	})
	return s.applied(before, record, err)
}

// applied reports an accepted change.
func (s *Server) applied(before, record config.Record, err error) (Applied, error) {
	if err != nil {
		return Applied{}, err
	}
	s.options.OnEvent(event.New(event.ConfigurationApplied, record.Reason,
		"revision", fmt.Sprint(record.Revision), "author", record.Author, "change", record.ChangeID))
	return s.compare(before, record), nil
}

// compare tells what a record changes and what follows from it.
func (s *Server) compare(before, after config.Record) Applied {
	answer := Applied{Revision: after.Revision, ChangeID: after.ChangeID}
	current, err := config.ParseConfiguration("after", []byte(after.YAML))
	if err != nil {
		return answer
	}
	old, err := config.ParseConfiguration("before", []byte(before.YAML))
	if err != nil {
		old = nil
	}
	answer.Changes = diff.Compare(old, current)
	answer.Consequences = diff.Assess(old, current, s.holdings(old))
	return answer
}

// holdings counts what each server owns now.
func (s *Server) holdings(c *config.Configuration) []diff.Holding {
	if c == nil {
		return nil
	}
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
