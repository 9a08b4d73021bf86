package callers

import (
	"context"
	"net"
	"time"
)

type connKey struct{}

// ConnContext is the ConnContext callback of a server whose connections all come from a Listener. BeginBody and Reclaim need it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connFrom(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Body is a request body that is being read. Its connection may be taken from a caller that sends it too slowly; reads then fail with
// os.ErrDeadlineExceeded.
type Body struct{ conn *conn }

// BeginBody marks that the body of a request is being read. It takes the context of the request.
func BeginBody(ctx context.Context) Body {
	c := connFrom(ctx)
	if c == nil {
		return Body{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodySince, c.bodyRead, c.bodyEvicted = time.Now(), 0, false
	return Body{c}
}

// End marks that the body has been read, or is not read on. It takes the number of bytes that were read.
func (b Body) End(bytes int) {
	if b.conn == nil {
		return
	}
	b.conn.mu.Lock()
	defer b.conn.mu.Unlock()
	b.conn.bodySince = time.Time{}
	b.conn.afterHead.bytes -= bytes
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

// Reclaim closes connections whose callers send too slowly, because there is no room for a request. It takes the request's context.
func Reclaim(ctx context.Context) {
	if c := connFrom(ctx); c != nil {
		c.listener.reclaim(memory)
	}
}
