package entry

import (
	"net/http"
	"strings"

	"hawthornrill.example/hawthornrill/session"
)

// hopByHop headers concern one connection and are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are meant for this system and kept from endpoints.
var ownHeaders = []string{"Authorization", KeyHeader, TimeoutHeader, session.Header, "Content-Length", "Expect"}

// towardsEndpoint returns the headers of a plain call that the service gets.
func towardsEndpoint(header http.Header) http.Header {
	passed := withoutHopByHop(header)
	for _, name := range ownHeaders {
		passed.Del(name)
	}
	return passed
}

// towardsCaller copies the headers of a plain response, but for this system's own.
func towardsCaller(to, from http.Header) {
	for name, values := range withoutHopByHop(from) {
		if name != KeyHeader && name != session.Header {
			to[name] = values
		}
	}
}

func withoutHopByHop(header http.Header) http.Header {
	passed := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	return passed
}
