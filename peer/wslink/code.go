package wslink

import (
	"errors"

	"hawthornrill.example/hawthornrill/peer"
)

// codeFor returns the code that tells the caller of a handler's error. A handler
// that failed because a peer of its own was unreachable is a remote error too.
func codeFor(err error) replyCode {
	if errors.Is(err, peer.ErrUnknownMethod) {
		return codeUnknownMethod
	}
	return codeRemote
}
