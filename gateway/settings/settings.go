// Package settings parses the YAML settings file of a gateway process.
//
// Validation reports all invalid fields together, each by its name. Errors of the
// YAML decoder name the line.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"gopkg.in/yaml.v3"

	"guavacrank.example/gateway/model"
)

// DecodeBounds decodes the platform's bounds from the "bounds" section of the
// file.
type DecodeBounds func(values map[string]any) (model.Bounds, error)

// file is the structure of the settings file.
type file struct {
	VM      string            `yaml:"vm"`
	Zone    string            `yaml:"zone"`
	Regions map[string]string `yaml:"regions"`
	Listen  struct {
		Callers string `yaml:"callers"`
		Ready   string `yaml:"ready"`
		Peers   string `yaml:"peers"`
		Metrics string `yaml:"metrics"`
	} `yaml:"listen"`
	Seeds       []string       `yaml:"seeds"`
	Store       string         `yaml:"store"`
	FirstStart  bool           `yaml:"first_start"`
	HeartbeatMS float64        `yaml:"heartbeat_ms"`
	MinLeaseMS  float64        `yaml:"lease_least_ms"`
	MemoryMB    int64          `yaml:"memory_mb"`
	Descriptors int            `yaml:"descriptors"`
	Processor   float64        `yaml:"processor"`
	LinkMbit    float64        `yaml:"link_mbit"`
	Bounds      map[string]any `yaml:"bounds"`
}

// Parse decodes and validates settings. Errors contain the given file name.
// Unknown fields are errors.
func Parse(name string, text []byte, decode DecodeBounds) (*model.Settings, error) {
	var f file
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	bounds, err := decode(f.Bounds)
	problems := f.validate()
	if err != nil {
		problems = append(problems, fmt.Errorf("bounds: %w", err))
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("%s: %w", name, errors.Join(problems...))
	}
	bounds.MinLeaseTTL = milliseconds(f.MinLeaseMS)
	return &model.Settings{
		VM:      f.VM,
		Zone:    f.Zone,
		Regions: f.Regions,
		Listen: model.Listen{
			Callers: f.Listen.Callers,
			Ready:   f.Listen.Ready,
			Peers:   f.Listen.Peers,
			Metrics: f.Listen.Metrics,
		},
		Seeds:          f.Seeds,
		FirstStart:     f.FirstStart,
		StoreAddress:   f.Store,
		MemoryBytes:    f.MemoryMB << 20,
		MaxDescriptors: f.Descriptors,
		Cores:          f.Processor,
		LinkMbit:       f.LinkMbit,
		Bounds:         bounds,

		HeartbeatInterval: milliseconds(f.HeartbeatMS),
	}, nil
}

// validate returns an error for each invalid field.
func (f *file) validate() []error {
	var problems []error
	require := func(ok bool, field, problem string) {
		if !ok {
			problems = append(problems, fmt.Errorf("%s: %s", field, problem))
		}
	}
	requireAddress := func(field, text string) {
		_, err := netip.ParseAddrPort(text)
		require(err == nil, field, fmt.Sprintf("%q is not an IP address with a port", text))
	}
	require(f.VM != "", "vm", "is missing")
	require(f.Zone != "", "zone", "is missing")
	_, known := f.Regions[f.Zone]
	require(known, "regions", fmt.Sprintf("names no region for zone %q", f.Zone))
	requireAddress("listen.callers", f.Listen.Callers)
	requireAddress("listen.ready", f.Listen.Ready)
	requireAddress("listen.peers", f.Listen.Peers)
	requireAddress("listen.metrics", f.Listen.Metrics)
	requireAddress("store", f.Store)
	require(f.MemoryMB > 0, "memory_mb", "must be greater than 0")
	require(f.Descriptors > 0, "descriptors", "must be greater than 0")
	require(f.Processor >= 0, "processor", "must not be negative")
	require(f.LinkMbit >= 0, "link_mbit", "must not be negative")
	require(f.MinLeaseMS >= 0, "lease_least_ms", "must not be negative")
	require(f.HeartbeatMS >= 0, "heartbeat_ms", "must not be negative")
	return problems
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
