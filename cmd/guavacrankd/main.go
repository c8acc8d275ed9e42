// Command guavacrankd is the router's daemon, one on each entry VM.
//
// SIGTERM or SIGINT stops it gracefully; a second signal ends it at once, except for a
// gateway, which ignores it.
package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"guavacrank.example/config"
	"guavacrank.example/daemon"
	"guavacrank.example/kvstore/httpstore"
)

func main() {
	settingsFile := flag.String("settings", "", "`file` with the settings of this process (YAML)")
	asGateway := flag.Bool("gateway", false, "run as a gateway on the users' platform")
	flag.Parse()
	if *settingsFile == "" || flag.NArg() != 0 {
		fmt.Fprintln(os.Stderr, "usage: guavacrankd [-gateway] -settings FILE")
		os.Exit(2)
	}
	serve := run
	if *asGateway {
		serve = runGateway
	}
	if err := serve(*settingsFile); err != nil {
		fmt.Fprintln(os.Stderr, "guavacrankd:", err)
		os.Exit(1)
	}
}

func run(settingsFile string) error {
	data, err := os.ReadFile(settingsFile)
	if err != nil {
		return err
	}
	settings, err := config.ParseSettings(settingsFile, data)
	if err != nil {
		return err
	}
	logger, err := newLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	store := httpstore.NewClient(httpstore.ClientOptions{Address: settings.PlatformAddress})
	defer store.Close()
	d, err := daemon.New(daemon.Options{
		Settings:    *settings,
		Store:       store,
		Logger:      logger.With(zap.String("vm", settings.VM)),
		Build:       build(),
		Incarnation: rand.Text(),
	})
	if err != nil {
		return err
	}
	return runUntilSignal(d, logger)
}

// errCutOff says that a second signal ended the process at once.
var errCutOff = errors.New("a second signal ended the process with requests in flight")

// runUntilSignal runs the daemon. The first signal stops it gracefully, the
// second at once.
func runUntilSignal(d *daemon.Daemon, logger *zap.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	for count := 0; ; {
		select {
		case err := <-ended:
			return err
		case received := <-signals:
			count++
			logger.Info("signal", zap.String("signal", received.String()))
			stop()
			if count > 1 {
				left := d.InFlight()
				d.Kill()
				<-ended
				return fmt.Errorf("%w: %d", errCutOff, left)
			}
		}
	}
}

func newLogger(level config.LogLevel) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(string(level))
	if err != nil {
		return nil, err
	}
	settings := zap.NewProductionConfig()
	settings.Level = zap.NewAtomicLevelAt(parsed)
	settings.Sampling = nil // Events have rate limits of their own.
	settings.DisableCaller = true
	settings.DisableStacktrace = true
	return settings.Build()
}

// build names the build by its module's version or revision.
func build() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
