package pipeline

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// served is a connection of a Listener or of its Requests.
type served interface {
	// responded notes that the response is complete and leaves the connection open.
	responded()
	endAfter() bool
	awaitTurn() bool
}

// WithConn returns a context for the requests of a connection.
func WithConn(ctx context.Context, accepted net.Conn) context.Context {
	if conn, isServed := accepted.(served); isServed {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// ConnState is an http.Server's ConnState.
func ConnState(accepted net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if conn, isServed := accepted.(served); isServed {
		conn.responded()
	}
}

// EndAfter reports whether the response to a request may close the connection, which is so
// if no later request has been read ahead. Then none is any more.
func EndAfter(ctx context.Context) bool {
	conn, isServed := ctx.Value(connKey{}).(served)
	return !isServed || conn.endAfter()
}

// AwaitTurn returns once all requests before one have been answered, and reports whether
// the connection is still open.
func AwaitTurn(ctx context.Context) bool {
	conn, isServed := ctx.Value(connKey{}).(served)
	return !isServed || conn.awaitTurn()
}
