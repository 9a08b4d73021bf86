package places

import "time"

const (
	// paceFresh is how long what is known of an endpoint's pace counts. Then it is tried again by single answers: an
	// endpoint that has become slow for some seconds may have recovered.
	paceFresh = 30 * time.Second
	// ownSamples is the number of this node's own samples that count as much as what one other node tells.
	ownSamples = 4
)

// pace is how long an endpoint takes for a token, as this node has seen it and as the others tell. Each node alone sees few
// answers of an endpoint: with 72 nodes at 60 endpoints one every five seconds.
type pace struct {
	own   mean
	ownAt time.Time
	// told is the mean in seconds of what tellers other nodes told last.
	told    float64
	tellers int
	toldAt  time.Time
}

// seen reports whether this node has seen the pace lately.
func (p *pace) seen(now time.Time) bool { return p.own.samples > 0 && now.Sub(p.ownAt) <= paceFresh }

// saw takes a sample of this node's: tokens that came within a time.
func (p *pace) saw(now time.Time, tokens int, within time.Duration) {
	if tokens <= 0 || within <= 0 {
		return
	}
	sample := within.Seconds() / float64(tokens)
	if !p.seen(now) {
		p.own = mean{value: sample}
	}
	p.own.add(sample)
	p.ownAt = now
}

// hear takes what the other nodes tell.
func (p *pace) hear(now time.Time, others load) {
	if others.tellers == 0 {
		return
	}
	p.told, p.tellers, p.toldAt = float64(others.tokenMicros)/float64(others.tellers)/1e6, others.tellers, now
}

// ownMicros is this node's own view in microseconds, zero if it has none.
func (p *pace) ownMicros(now time.Time) int {
	if !p.seen(now) {
		return 0
	}
	return int(p.own.value * 1e6)
}

// token returns the time for a token, zero if nothing is known.
func (p *pace) token(now time.Time) time.Duration {
	var sum, weight float64
	if p.seen(now) {
		weight = float64(min(p.own.samples, ownSamples)) / ownSamples
		sum = p.own.value * weight
	}
	if p.tellers > 0 && now.Sub(p.toldAt) <= paceFresh {
		sum += p.told * float64(p.tellers)
		weight += float64(p.tellers)
	}
	if weight == 0 {
		return 0
	}
	return time.Duration(sum / weight * float64(time.Second))
}
