package entrynode

import (
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/callers"
)

// portServer returns a server for the balancer or the operators.
func (n *Node) portServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: withoutBody(handler), ReadTimeout: portReadTimeout, WriteTimeout: portWriteTimeout, IdleTimeout: portIdleTimeout,
		MaxHeaderBytes: maxPortHeaderBytes, ConnState: callers.TrackState, ErrorLog: debugLogger(n.log),
	}
}

// withoutBody closes the connection of a request with a body once it has been answered: none is expected, and net/http would wait for it.
func withoutBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // supported by net/http's server
		}
		handler.ServeHTTP(w, r)
	})
}

// portHeadLimits returns the bounds for heads of requests of the balancer and the operators.
func portHeadLimits() callers.HeadLimits {
	return callers.HeadLimits{MaxBytes: func() int { return maxPortHeaderBytes }}
}

// serveLimited listens on the server's address and serves at most the given number of connections at a time, 0 for no limit.
func serveLimited(server *http.Server, connections int, heads callers.HeadLimits) error {
	raw, err := callers.Listen(server.Addr)
	if err != nil {
		return err
	}
	listener := callers.NewListener(raw, connections)
	listener.SetHeadLimits(heads)
	return server.Serve(listener)
}
