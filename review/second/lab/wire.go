package lab

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// Wire holds the names of the platform's headers and keys.
var Wire = readWire()

type names struct {
	RequestID      string `json:"request_id"`
	TimeLeft       string `json:"time_left"`
	ExpectedServer string `json:"expected_server"`
	Server         string `json:"server"`
	NotRun         string `json:"not_run"`
	Signature      string `json:"signature"`
	Configuration  string `json:"configuration"`
	Servers        string `json:"servers"`
	Ready          string `json:"ready"`
}

func readWire() names {
	var n names
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic("lab: " + err.Error()) // The file is part of the program.
	}
	return n
}
