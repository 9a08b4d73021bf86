package entry

import (
	"net/http"
	"strings"

	"hawthornrill.example/hawthornrill/session"
)

// hopByHop lists the headers that apply to one connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedHeaders lists the request headers that are handled here and not forwarded
// to endpoints.
var strippedHeaders = []string{"Authorization", KeyHeader, TimeoutHeader, session.Header, "Content-Length", "Expect"}

// endpointHeaders returns the headers of a service call that are forwarded to the
// service.
func endpointHeaders(header http.Header) http.Header {
	forwarded := withoutHopByHop(header)
	for _, name := range strippedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// copyResponseHeaders copies the headers of a service's response, except the key
// and session headers, which only this system sets.
func copyResponseHeaders(to, from http.Header) {
	for name, values := range withoutHopByHop(from) {
		if name != KeyHeader && name != session.Header {
			to[name] = values
		}
	}
}

func withoutHopByHop(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		forwarded.Del(name)
	}
	return forwarded
}
