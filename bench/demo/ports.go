package demo

import (
	"fmt"
	"math/rand/v2"
)

// Ports that the demo takes. They lie below the range from which Linux takes
// the ports of outgoing connections: one of those could otherwise hold the port
// of a server or VM that is to return.
const (
	firstPort = 22000
	lastPort  = 31999
	// portAttempts is the number of ports that are tried for one listener.
	portAttempts = 200
)

// bindLoopback calls bind with loopback addresses until one is free, and
// returns the last error if none is.
func bindLoopback(bind func(address string) error) error {
	var err error
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		if err = bind(fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return nil
		}
	}
	return err
}
