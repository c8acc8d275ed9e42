package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"guavacrank.example/gateway/trace"
)

func traceCommand() Command {
	return Command{
		Name:      "trace",
		Arguments: "REQUEST FOLDER",
		Summary:   "Follow one request through the gateways' logs in a folder",
		Examples:  []string{"guavacrankctl trace 9c41d07be2a35f68 logs"},
		Setup: func(flags *flag.FlagSet) Run {
			output := addOutput(flags)
			return func(_ context.Context, env *Environment, args []string) error {
				if err := arguments(args, "REQUEST", "FOLDER"); err != nil {
					return err
				}
				lines, err := readLogs(args[1])
				if err != nil {
					return err
				}
				found, err := trace.Find(lines, args[0])
				if err != nil {
					return err
				}
				return output.print(env.Stdout, found, func(w io.Writer) { printTrace(w, found) })
			}
		},
	}
}

// readLogs reads every file of a folder.
func readLogs(folder string) ([]trace.Line, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var lines []trace.Line
	var faults []error
	for _, entry := range entries {
		if entry.IsDir() {
			continue
		}
		read, err := readLog(filepath.Join(folder, entry.Name()))
		lines = append(lines, read...)
		faults = append(faults, err)
	}
	return lines, errors.Join(faults...)
}

func readLog(name string) ([]trace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, err := trace.Read(file)
	if err != nil {
		return lines, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

func printTrace(w io.Writer, found *trace.Trace) {
	fmt.Fprintln(w, "shortly before, on its VM, its servers and its key:")
	for _, line := range found.Related {
		printLogLine(w, line)
	}
	fmt.Fprintln(w, "\nthe request:")
	for _, line := range found.Lines {
		printLogLine(w, line)
	}
	fmt.Fprintf(w, "\ndecided by %s: %s\n", found.Outcome.VM, found.Outcome.Name)
}

func printLogLine(w io.Writer, line trace.Line) {
	fmt.Fprintf(w, "%s %s %s\n", line.Time.Format(time.RFC3339Nano), line.VM, line.Text)
}
