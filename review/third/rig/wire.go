package rig

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// Wire holds the names of headers and keys on the platform's wire, and the bounds of
// lps-graz-grown.
var Wire = readWire()

// Names are names on the platform's wire.
type Names struct {
	RequestID      string             `json:"request_id"`
	TimeLeft       string             `json:"time_left"`
	ExpectedServer string             `json:"expected_server"`
	Server         string             `json:"server"`
	NotRun         string             `json:"not_run"`
	Signature      string             `json:"signature"`
	Configuration  string             `json:"configuration"`
	Servers        string             `json:"servers"`
	Ready          string             `json:"ready"`
	Bounds         map[string]float64 `json:"bounds"`
}

func readWire() Names {
	var names Names
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic("rig: " + err.Error()) // The file is part of the program.
	}
	return names
}
