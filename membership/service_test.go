package membership

import (
	"testing"
	"time"
)

func TestSettles(t *testing.T) {
	inBubble(t, 3, 4, nil, func(t *testing.T, x *fleet) {
		x.throughout(time.Minute, "all alive", func() bool { return x.all(x.order, x.order, StatusAlive) })
	})
}
