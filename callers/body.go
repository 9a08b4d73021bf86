package callers

import (
	"context"
	"net"
)

type connKey struct{}

// ConnContext is the ConnContext callback of a server whose connections all come from a Listener. Admitted and EndBody need it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connFrom(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Admitted reports whether there is room for the request. It takes the request's context.
func Admitted(ctx context.Context) bool {
	c := connFrom(ctx)
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admitted
}

// EndBody records the length of the body that was read of a request. It takes the request's context.
func EndBody(ctx context.Context, bytes int) {
	if c := connFrom(ctx); c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.afterHead.bytes -= bytes
	}
}
