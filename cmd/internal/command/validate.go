package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"guavacrank.example/config"
)

// validation is the result of validate.
type validation struct {
	File     string         `json:"file"`
	Valid    bool           `json:"valid"`
	Services int            `json:"services"`
	Servers  int            `json:"servers"`
	Faults   []config.Error `json:"faults"`
}

func validateCommand() Command {
	return Command{
		Name:      "validate",
		Arguments: "FILE",
		Summary:   "Check a configuration or settings file without a daemon",
		Examples: []string{
			"guavacrankctl validate examples/verhaegen.yaml",
			"guavacrankctl validate -settings examples/settings.yaml",
		},
		Setup: func(flags *flag.FlagSet) Run {
			output := addOutput(flags)
			settings := flags.Bool("settings", false, "the file holds the settings of one daemon")
			return func(_ context.Context, env *Environment, args []string) error {
				if err := arguments(args, "FILE"); err != nil {
					return err
				}
				data, err := readFile(env, args[0])
				if err != nil {
					return err
				}
				return printValidation(env, output, validate(args[0], data, *settings))
			}
		},
	}
}

// validate parses a file.
func validate(file string, data []byte, settings bool) validation {
	result := validation{File: file, Valid: true, Faults: []config.Error{}}
	var err error
	if settings {
		_, err = config.ParseSettings(file, data)
	} else {
		var parsed *config.Configuration
		parsed, err = config.ParseConfiguration(file, data)
		if err == nil {
			result.Services, result.Servers = len(parsed.Services), len(parsed.Servers)
		}
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, one := range joined.Unwrap() {
			var fault *config.Error
			if errors.As(one, &fault) {
				result.Faults = append(result.Faults, *fault)
			}
		}
	}
	result.Valid = err == nil
	return result
}

// printValidation prints the result; an invalid file is status Failed.
func printValidation(env *Environment, output *outputFlag, result validation) error {
	err := output.print(env.Stdout, result, func(w io.Writer) {
		if result.Valid {
			fmt.Fprintf(w, "%s is valid\n", result.File)
		}
		for _, fault := range result.Faults {
			fmt.Fprintln(w, fault.Error())
		}
	})
	if err == nil && !result.Valid {
		err = &StatusError{Status: Failed, Err: fmt.Errorf("%s is not valid: %d faults", result.File, len(result.Faults))}
	}
	return err
}
