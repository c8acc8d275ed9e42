package demo

import (
	"fmt"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
)

// Service times of the stand-ins by the class's priority, and their cold start.
const (
	interactiveTime = 2 * time.Millisecond
	patientTime     = 5 * time.Millisecond
	bulkTime        = 10 * time.Millisecond
	bulkBytes       = 8 << 10
	coldStart       = 200 * time.Millisecond
	coldFactor      = 3
	reportLag       = time.Second
)

// ServersOptions configure the stand-in servers of a configuration.
type ServersOptions struct {
	Configuration *config.Configuration
	Records       *standin.Records
	// KeepAddresses makes each server listen on its configured address, in place
	// of a free loopback port.
	KeepAddresses bool
}

// StartServers starts one stand-in for each server of a configuration. On an
// error none is left running.
func StartServers(options ServersOptions) ([]*standin.Server, error) {
	priorities := priorityOf(options.Configuration)
	divided := dividedServices(options.Configuration)
	var servers []*standin.Server
	for _, declared := range options.Configuration.Servers {
		server, err := startServer(options.KeepAddresses, standin.Options{
			Name:         declared.Name,
			Service:      declared.Service,
			Address:      declared.Address,
			Slots:        declared.Slots,
			Connections:  declared.Connections,
			ChecksGrants: declared.ChecksGrants && divided[declared.Service],
			ServiceTime:  serviceTime(priorities),
			AnswerBytes:  answerBytes(priorities),
			ColdStart:    coldStart,
			ColdFactor:   coldFactor,
			ReportLag:    reportLag,
			Records:      options.Records,
		})
		if err != nil {
			StopServers(servers)
			return nil, fmt.Errorf("starting stand-in %s: %w", declared.Name, err)
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// startServer starts one stand-in, at its address or at a free loopback port.
func startServer(keepAddress bool, options standin.Options) (*standin.Server, error) {
	if keepAddress {
		server := standin.New(options)
		return server, server.Start()
	}
	var server *standin.Server
	err := bindLoopback(func(address string) error {
		options.Address = address
		server = standin.New(options)
		return server.Start()
	})
	return server, err
}

// StopServers ends stand-ins.
func StopServers(servers []*standin.Server) {
	for _, server := range servers {
		server.Kill()
	}
}

func dividedServices(configuration *config.Configuration) map[string]bool {
	divided := make(map[string]bool)
	for _, service := range configuration.Services {
		divided[service.Name] = service.DividedByKey
	}
	return divided
}

func priorityOf(configuration *config.Configuration) map[string]config.Priority {
	priorities := make(map[string]config.Priority)
	for _, service := range configuration.Services {
		for _, class := range service.Classes {
			priorities[class.Name] = class.Priority
		}
	}
	return priorities
}

func serviceTime(priorities map[string]config.Priority) func(class, key string) time.Duration {
	return func(class, _ string) time.Duration {
		switch priorities[class] {
		case config.Bulk:
			return bulkTime
		case config.Patient:
			return patientTime
		default:
			return interactiveTime
		}
	}
}

func answerBytes(priorities map[string]config.Priority) func(class string) int {
	return func(class string) int {
		if priorities[class] == config.Bulk {
			return bulkBytes
		}
		return 0
	}
}
