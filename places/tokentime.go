package places

import "time"

const (
	// tokenTimeFreshFor is how long a token time is used. After that the endpoint is tried again with single answers:
	// one that was slow for some seconds may have recovered.
	tokenTimeFreshFor = 30 * time.Second
	// ownFullWeightSamples is the number of this node's own samples that weigh as much as the report of one peer.
	ownFullWeightSamples = 4
)

// tokenTimeEstimate estimates an endpoint's time per token from this node's samples and the peers' reports. A single
// node sees few answers of an endpoint: one every five seconds with 72 nodes and 60 endpoints.
type tokenTimeEstimate struct {
	own   mean
	ownAt time.Time
	// peerMean is the mean in seconds over the last reports of the given number of reporters.
	peerMean  float64
	reporters int
	peerAt    time.Time
}

// hasOwn reports whether this node has recent samples of its own.
func (p *tokenTimeEstimate) hasOwn(now time.Time) bool {
	return p.own.samples > 0 && now.Sub(p.ownAt) <= tokenTimeFreshFor
}

// addOwn adds a sample of this node: tokens that arrived within a duration.
func (p *tokenTimeEstimate) addOwn(now time.Time, tokens int, within time.Duration) {
	if tokens <= 0 || within <= 0 {
		return
	}
	sample := within.Seconds() / float64(tokens)
	if !p.hasOwn(now) {
		p.own = mean{value: sample}
	}
	p.own.add(sample)
	p.ownAt = now
}

// addReported applies the values reported by the peers.
func (p *tokenTimeEstimate) addReported(now time.Time, others load) {
	if others.reporters == 0 {
		return
	}
	p.peerMean, p.reporters, p.peerAt = float64(others.tokenMicros)/float64(others.reporters)/1e6, others.reporters, now
}

// ownMicros is this node's own estimate in microseconds, zero if it has none.
func (p *tokenTimeEstimate) ownMicros(now time.Time) int {
	if !p.hasOwn(now) {
		return 0
	}
	return int(p.own.value * 1e6)
}

// estimate returns the time per token, zero if unknown.
func (p *tokenTimeEstimate) estimate(now time.Time) time.Duration {
	var sum, weight float64
	if p.hasOwn(now) {
		weight = float64(min(p.own.samples, ownFullWeightSamples)) / ownFullWeightSamples
		sum = p.own.value * weight
	}
	if p.reporters > 0 && now.Sub(p.peerAt) <= tokenTimeFreshFor {
		sum += p.peerMean * float64(p.reporters)
		weight += float64(p.reporters)
	}
	if weight == 0 {
		return 0
	}
	return time.Duration(sum / weight * float64(time.Second))
}
