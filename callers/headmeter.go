package callers

import "bytes"

const (
	// Costs in bytes of a parsed head, with its copy for the endpoint: of each byte, of each line and of each element of a list.
	headByteCost    = 2
	headLineCost    = 256
	headElementCost = 64
)

// headMeter measures the head of a request as it arrives, as net/http delimits it.
type headMeter struct {
	// bytes, lines and commas count what has arrived, with the line that is not complete.
	bytes, lines, commas int
	// lineBytes is the length of the line that is not complete, onlyCR is true if it is a carriage return alone.
	lineBytes int
	onlyCR    bool
	complete  bool
}

// read measures the part of p that belongs to the head and returns its length. Empty lines before the first other one belong to it.
func (m *headMeter) read(p []byte) (length int) {
	for length < len(p) && !m.complete {
		rest := p[length:]
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			m.onlyCR = m.lineBytes == 0 && len(rest) == 1 && rest[0] == '\r'
			m.lineBytes += len(rest)
			length = len(p)
			break
		}
		length += end
		m.endLine(rest[:end-1])
	}
	m.bytes += length
	m.commas += bytes.Count(p[:length], []byte{','})
	return length
}

// endLine ends the line of which the last part has arrived.
func (m *headMeter) endLine(last []byte) {
	empty := m.lineBytes+len(last) == 0 || m.onlyCR && len(last) == 0 || m.lineBytes == 0 && len(last) == 1 && last[0] == '\r'
	if empty && m.lines > 0 {
		m.complete = true
	}
	if !empty {
		m.lines++
	}
	m.lineBytes, m.onlyCR = 0, false
}

// cost is the estimated memory of the parsed head in bytes.
func (m *headMeter) cost() int64 {
	return int64(headByteCost*m.bytes + headLineCost*(m.lines+1) + headElementCost*m.commas)
}
