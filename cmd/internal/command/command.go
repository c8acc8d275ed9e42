// Package command holds the subcommands of guavacrankctl: one file for each,
// and a table that lists them.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
)

// Status is the exit status of guavacrankctl.
type Status int

// Exit statuses.
const (
	Done     Status = 0
	Failed   Status = 1
	BadUse   Status = 2
	Conflict Status = 3 // Somebody else changed the configuration first.
	Unknown  Status = 4 // A change may or may not be in force.
)

// Environment is what a command may use of the process.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(name string) string
}

// Command is one row of the table.
type Command struct {
	Name string
	// Arguments shows what follows the name, such as "FILE".
	Arguments string
	// Summary is one line, without a full stop.
	Summary string
	// Examples are complete command lines.
	Examples []string
	// Setup declares the command's flags and returns the function that runs it
	// with the arguments that are no flags.
	Setup func(flags *flag.FlagSet) Run
}

// Run runs a command. A nil error is status Done; a *StatusError or an error
// of the client has its own status, any other is Failed.
type Run func(ctx context.Context, env *Environment, args []string) error

// StatusError is an error with an exit status of its own.
type StatusError struct {
	Status Status
	Err    error
}

// Error implements error.
func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the error itself.
func (e *StatusError) Unwrap() error { return e.Err }

// badUse returns an error of status BadUse.
func badUse(format string, args ...any) error {
	return &StatusError{Status: BadUse, Err: fmt.Errorf(format, args...)}
}

// errHelp says that help was asked for and printed.
var errHelp = errors.New("help")

// Main runs the command that args names and returns the exit status.
func Main(ctx context.Context, env *Environment, args []string) Status {
	if len(args) == 0 {
		printTable(env.Stderr)
		return BadUse
	}
	switch args[0] {
	case "help", "-help", "--help", "-h":
		printTable(env.Stdout)
		return Done
	}
	for _, command := range table() {
		if command.Name == args[0] {
			return exitStatus(env, command.run(ctx, env, args[1:]))
		}
	}
	fmt.Fprintf(env.Stderr, "guavacrankctl: no command %q; see guavacrankctl help\n", args[0])
	return BadUse
}

// exitStatus prints an error and returns its status.
func exitStatus(env *Environment, err error) Status {
	if err == nil || errors.Is(err, errHelp) {
		return Done
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(env.Stderr, "guavacrankctl: "+text)
	}
	return statusOf(err)
}

// statusOf maps an error to the exit status.
func statusOf(err error) Status {
	var withStatus *StatusError
	if errors.As(err, &withStatus) {
		return withStatus.Status
	}
	var failure *client.Error
	if !errors.As(err, &failure) {
		return Failed
	}
	switch {
	case failure.Kind == client.KindUnknownOutcome:
		return Unknown
	case failure.Problem != nil && failure.Problem.Code == operator.CodeConflict:
		return Conflict
	default:
		return Failed
	}
}

// run parses the flags and runs the command.
func (c Command) run(ctx context.Context, env *Environment, args []string) error {
	flags := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	run := c.Setup(flags)
	positional, err := parse(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		c.printHelp(env.Stdout, flags)
		return errHelp
	}
	if err != nil {
		return badUse("%s: %w; see guavacrankctl %s -help", c.Name, err, c.Name)
	}
	return run(ctx, env, positional)
}

// parse reads flags before, between and after the other arguments.
func parse(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

// printHelp prints what -help shows.
func (c Command) printHelp(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintf(w, "%s.\n\nusage: %s\n\nexamples:\n", c.Summary, strings.TrimSpace("guavacrankctl "+c.Name+" [flags] "+c.Arguments))
	for _, example := range c.Examples {
		fmt.Fprintf(w, "  %s\n", example)
	}
	fmt.Fprintln(w, "\nflags:")
	flags.SetOutput(w)
	flags.PrintDefaults()
	fmt.Fprintln(w, "\nexit status: 0 done, 1 failed, 2 bad use, 3 conflict, 4 outcome unknown")
}

// printTable prints the list of commands.
func printTable(w io.Writer) {
	fmt.Fprintln(w, "usage: guavacrankctl COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	for _, command := range table() {
		fmt.Fprintf(w, "  %-13s %s\n", command.Name, command.Summary)
	}
	fmt.Fprintln(w, "\nguavacrankctl COMMAND -help shows flags and examples.")
}

// arguments checks the number of arguments that are no flags.
func arguments(args []string, names ...string) error {
	if len(args) != len(names) {
		return badUse("wants %d arguments (%s), got %d", len(names), strings.Join(names, " "), len(args))
	}
	return nil
}
