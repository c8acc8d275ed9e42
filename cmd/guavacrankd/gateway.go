package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/model"
	gateway "guavacrank.example/gateway/run"
	"guavacrank.example/gateway/settings"
	"guavacrank.example/platform"
)

// runGateway serves on the users' platform until a signal. SIGHUP reads the
// settings again.
func runGateway(settingsFile string) error {
	// Until the process ends: without a receiver a SIGHUP would end it, also while
	// it starts or stops.
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP)
	read, err := readGatewaySettings(settingsFile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan *model.Settings)
	go reloadOnSignal(ctx, settingsFile, changes, reload)
	account := memory.NewAccount(read.MemoryBytes)
	return gateway.Run(ctx, gateway.Options{
		Settings:    read,
		Store:       platform.NewStoreClient(read.StoreAddress, account),
		Records:     platform.Records{},
		HeaderCodec: platform.HeaderCodec{},
		Grantor:     platform.NewGrantor(account),
		Memory:      account,
		Output:      os.Stdout,
	}, reload)
}

func readGatewaySettings(file string) (*model.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return settings.Parse(file, text, platform.Bounds)
}

// reloadOnSignal reads the settings again at each change. Faulty settings are
// reported and change nothing.
func reloadOnSignal(ctx context.Context, file string, changes <-chan os.Signal, reload chan<- *model.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
		read, err := readGatewaySettings(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, "guavacrankd: settings stay as they are:", err)
			continue
		}
		select {
		case reload <- read:
		case <-ctx.Done():
		}
	}
}
