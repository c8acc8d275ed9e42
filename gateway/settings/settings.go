// Package settings reads the settings file of a gateway process, in YAML.
//
// Every fault is reported at once, each with the file, the line or the field.
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

// DecodeBounds reads the platform's bounds as they stand in the file.
type DecodeBounds func(values map[string]any) (model.Bounds, error)

// file is the settings file.
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
	Seeds        []string       `yaml:"seeds"`
	Store        string         `yaml:"store"`
	LeaseLeastMS float64        `yaml:"lease_least_ms"`
	MemoryMB     int64          `yaml:"memory_mb"`
	Descriptors  int            `yaml:"descriptors"`
	Processor    float64        `yaml:"processor"`
	LinkMbit     float64        `yaml:"link_mbit"`
	Bounds       map[string]any `yaml:"bounds"`
}

// Parse reads and checks settings. name is the file's name for errors. Unknown
// fields are an error.
func Parse(name string, text []byte, decode DecodeBounds) (*model.Settings, error) {
	var f file
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	bounds, err := decode(f.Bounds)
	faults := f.check()
	if err != nil {
		faults = append(faults, fmt.Errorf("bounds: %w", err))
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s: %w", name, errors.Join(faults...))
	}
	bounds.MinLeaseTTL = milliseconds(f.LeaseLeastMS)
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
		StoreAddress:   f.Store,
		MemoryBytes:    f.MemoryMB << 20,
		MaxDescriptors: f.Descriptors,
		Cores:          f.Processor,
		LinkMbit:       f.LinkMbit,
		Bounds:         bounds,
	}, nil
}

// check returns one error for each faulty field.
func (f *file) check() []error {
	var faults []error
	need := func(ok bool, field, what string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %s", field, what))
		}
	}
	address := func(field, text string) {
		_, err := netip.ParseAddrPort(text)
		need(err == nil, field, fmt.Sprintf("%q is not an IP address with a port", text))
	}
	need(f.VM != "", "vm", "is missing")
	need(f.Zone != "", "zone", "is missing")
	_, known := f.Regions[f.Zone]
	need(known, "regions", fmt.Sprintf("names no region for zone %q", f.Zone))
	address("listen.callers", f.Listen.Callers)
	address("listen.ready", f.Listen.Ready)
	address("listen.peers", f.Listen.Peers)
	address("listen.metrics", f.Listen.Metrics)
	address("store", f.Store)
	need(f.MemoryMB > 0, "memory_mb", "must be above 0")
	need(f.Descriptors > 0, "descriptors", "must be above 0")
	need(f.Processor >= 0, "processor", "must not be negative")
	need(f.LinkMbit >= 0, "link_mbit", "must not be negative")
	need(f.LeaseLeastMS >= 0, "lease_least_ms", "must not be negative")
	return faults
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
