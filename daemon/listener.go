package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/daemon/pages"
	"guavacrank.example/event"
	"guavacrank.example/fleet"
	"guavacrank.example/kvstore"
)

// fleetListener converts the notifications of the fleet manager to inputs of the
// control plane. The fleet manager calls it from one goroutine.
type fleetListener struct {
	ctx    context.Context
	daemon *Daemon
}

// DocumentChanged implements fleet.Listener.
func (f *fleetListener) DocumentChanged(document fleet.Document) {
	if document.Deleted {
		return
	}
	var err error
	if document.Key == kvstore.ConfigKey {
		err = f.configurationChanged(document)
	} else if service, isPage := strings.CutPrefix(document.Key, kvstore.PagePrefix); isPage {
		err = f.pageChanged(service, document)
	}
	if err != nil {
		f.daemon.events.Add(event.New(event.DaemonBadDocument, err.Error(), "key", document.Key))
	}
}

func (f *fleetListener) configurationChanged(document fleet.Document) error {
	var record config.Record
	if err := json.Unmarshal(document.Value, &record); err != nil {
		return err
	}
	configuration, err := config.ParseConfiguration(document.Key, []byte(record.YAML))
	if err != nil {
		return err
	}
	if !f.daemon.activate(record, configuration) {
		return nil
	}
	change := control.ConfigurationAccepted{Revision: record.Revision, Configuration: configuration}
	f.daemon.loop.feed(f.ctx, change)
	f.daemon.inspect(f.daemon.publish)
	return nil
}

func (f *fleetListener) pageChanged(service string, document fleet.Document) error {
	page, err := pages.Decode(service, document.Version, document.Value)
	if err != nil {
		return err
	}
	f.daemon.loop.feed(f.ctx, page)
	return nil
}

// MembersChanged implements fleet.Listener.
func (f *fleetListener) MembersChanged(members []fleet.Member) {
	changed := control.MembersChanged{Members: make([]control.Member, 0, len(members))}
	for _, member := range members {
		changed.Members = append(changed.Members, control.Member{
			Name:    member.Name,
			Region:  member.Region,
			Zone:    member.Zone,
			Alive:   member.Alive,
			Leaving: member.Leaving,
		})
	}
	f.daemon.members.Store(&members)
	f.daemon.loop.feed(f.ctx, changed)
	f.daemon.inspect(f.daemon.publish)
}

// MessageReceived implements fleet.Listener.
func (f *fleetListener) MessageReceived(from, kind string, payload []byte) {
	if kind != controlMessageKind {
		return
	}
	var message control.Message
	if err := json.Unmarshal(payload, &message); err != nil {
		cause := errors.Join(errors.New("message of another VM"), err).Error()
		f.daemon.events.Add(event.New(event.DaemonBadDocument, cause, "from", from))
		return
	}
	f.daemon.loop.feed(f.ctx, control.MessageReceived{From: from, Message: message})
}
