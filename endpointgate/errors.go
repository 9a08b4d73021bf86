package endpointgate

import (
	"errors"
	"fmt"
)

var (
	// ErrClosed means that the endpoint must not be sent to. The other errors wrap it.
	ErrClosed = errors.New("endpointgate: endpoint must not be sent to")
	// ErrGone means that the endpoint's incarnation is not listed any more.
	ErrGone = fmt.Errorf("%w: not listed", ErrClosed)
	// ErrLeaving means that the endpoint accepts no new requests.
	ErrLeaving = fmt.Errorf("%w: leaving", ErrClosed)
	// ErrResting means that the endpoint asked this node for rest.
	ErrResting = fmt.Errorf("%w: resting", ErrClosed)
)
