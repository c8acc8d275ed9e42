// Command guavacrankctl is the operators' command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"guavacrank.example/cmd/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &command.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	status := command.Main(ctx, env, os.Args[1:])
	stop()
	os.Exit(int(status))
}
