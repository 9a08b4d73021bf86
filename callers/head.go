package callers

import "bytes"

// surplus is what was read of a connection behind a request's head, less the bytes of its body: the framing of the body and the start
// of the next request.
type surplus struct{ bytes, lines, commas int }

func (s *surplus) add(p []byte) {
	s.bytes += len(p)
	s.lines += bytes.Count(p, []byte{'\n'})
	s.commas += bytes.Count(p, []byte{','})
}

// cost is the most that this can cost as part of a head. net/http holds up to readBufferBytes of it.
func (s *surplus) cost() int64 {
	held := min(s.bytes, readBufferBytes)
	if held <= 0 {
		return 0
	}
	lines := min(s.lines, held/minLineBytes) + 1
	return int64(headByteCost*held + headLineCost*lines + headElementCost*min(s.commas, held))
}

// recordHead records bytes of a head, and refuses the request if it is over the limits. The mutex must be held.
func (c *conn) recordHead(p []byte) error {
	length := c.head.read(p)
	c.afterHead.add(p[length:])
	limits := &c.listener.heads
	if limits.MaxBytes != nil && c.head.bytes > limits.MaxBytes()+headMargin {
		c.refuseHead(reasonTooLong, limits.Refusals.TooLong)
		return errRefused
	}
	if !c.held.Grow(requestCost + c.head.cost() + c.nextCost) {
		c.refuseHead(reasonNoRoom, limits.Refusals.NoRoom)
		return errNoRoom
	}
	return nil
}

func (c *conn) refuseHead(reason reason, response []byte) {
	c.listener.refused(reason, 1)
	c.refuse(response)
}

// endRequest releases what the last request holds, and reserves what may have been read of the next one. The mutex must be held.
func (c *conn) endRequest() {
	c.held.Release()
	c.nextCost = c.afterHead.cost()
	c.head, c.afterHead = headMeter{}, surplus{}
	if c.nextCost == 0 {
		return
	}
	// The next head may have begun, so that an empty line can end it.
	c.head.lines = 1
	if !c.held.Grow(c.nextCost) {
		c.refuseHead(reasonNoRoom, c.listener.heads.Refusals.NoRoom)
	}
}

// beginRequest reserves the cost of a request whose head was read with the one before it. The mutex must be held.
func (c *conn) beginRequest() {
	c.admitted = c.held.Grow(requestCost + c.head.cost() + c.nextCost)
}
