package stage

import (
	_ "embed" // For the files beside this one.
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// settingsFormat is what deploy/settings.yaml.tmpl renders, with the figures of the small
// sites.
//
//go:embed settings.yaml.format
var settingsFormat string

// Wire holds the platform's names on the wire, from wire.json: as in the project, Go source
// outside platform/ does not spell them.
var Wire = mustDecode(wireText)

// WireNames are the names that the stand-ins of the cases use.
type WireNames struct {
	RequestID        string `json:"request_id"`
	TimeLeft         string `json:"time_left"`
	Key              string `json:"key"`
	ExpectedServer   string `json:"expected_server"`
	Server           string `json:"server"`
	NotRun           string `json:"not_run"`
	Signature        string `json:"signature"`
	Handover         string `json:"handover"`
	GrantPath        string `json:"grant_path"`
	ReleasePath      string `json:"release_path"`
	ReadyPath        string `json:"ready_path"`
	ConfigurationKey string `json:"configuration_key"`
	ServersPrefix    string `json:"servers_prefix"`
	GrantFirstKey    string `json:"grant_first_key"`
	GrantLastKey     string `json:"grant_last_key"`
	GrantFence       string `json:"grant_fence"`
	GrantTTLMS       string `json:"grant_ttl_ms"`
}

func mustDecode(text []byte) (names WireNames) {
	if err := json.Unmarshal(text, &names); err != nil {
		panic("stage: wire.json: " + err.Error()) // The file is part of the program.
	}
	return names
}
