package wslink

import (
	"errors"

	"hawthornrill.example/hawthornrill/peer"
)

// codeFor returns the reply code for a handler's error. A handler that failed because
// a peer that it called was unreachable counts as a remote error too.
func codeFor(err error) replyCode {
	if errors.Is(err, peer.ErrUnknownMethod) {
		return codeUnknownMethod
	}
	return codeRemote
}
