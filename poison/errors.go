package poison

import "errors"

// ErrEnded is returned by a probe if nothing serves at the address.
var ErrEnded = errors.New("poison: the endpoint has ended")

func isEnded(err error) bool { return errors.Is(err, ErrEnded) }
