package gossip

import "time"

const (
	// baseInterval is the interval between reports to the nodes of the same data centre, to which each of them adds
	// intervalPerLocalNode. This keeps a node below three hundred reports a second in a data centre of any size.
	baseInterval         = 60 * time.Millisecond
	intervalPerLocalNode = 3 * time.Millisecond
	// intervalPerRemoteNode is what each node of another data centre adds to the interval between reports to those nodes,
	// up to maxRemoteInterval. Traffic between data centres has a price, and their nodes share fewer endpoints with this one.
	intervalPerRemoteNode = 12 * time.Millisecond
	maxRemoteInterval     = 450 * time.Millisecond
	// localBytesPerSecond and remoteBytesPerSecond bound the rates at which a node sends to the nodes of its data centre and
	// to all others. They take effect from some 70 nodes on and are about the rates at that size. Without them the rate per
	// node grows with the fleet, and the total with its square. Measured on the same day with 30, 100 and 300 nodes, without
	// and with the bounds: 158, 848, 2,323 and 157, 539, 729 KB a second per node, requests included; cost of the day 0.063,
	// 0.765, 8.09 and 0.063, 0.484, 1.52, nearly all for traffic between data centres; share of requests served 0.868, 0.906,
	// 0.210 and 0.886, 0.912, 0.804.
	//
	// The forwarder of a data centre has no bound within it: the withdrawal of an endpoint must be known there within
	// seconds, and there is only one forwarder.
	localBytesPerSecond  = 200_000
	remoteBytesPerSecond = 120_000
)

// pacer computes the intervals between reports.
type pacer struct {
	// meanSize is the moving average of the report size in bytes.
	meanSize float64
}

// sizeSmoothing is the weight of a new report size in the moving average.
const sizeSmoothing = 0.1

// observeSize records the size of a report, 0 if none was sent.
func (p *pacer) observeSize(size int) {
	switch {
	case size == 0:
	case p.meanSize == 0:
		p.meanSize = float64(size)
	default:
		p.meanSize += sizeSmoothing * (float64(size) - p.meanSize)
	}
}

// intervals returns the intervals between reports to the nodes of this data centre and to those of the others, given the
// numbers of both.
func (p *pacer) intervals(localNodes, remoteNodes int, forwards bool) (local, remote time.Duration) {
	local = baseInterval + time.Duration(localNodes)*intervalPerLocalNode
	if !forwards {
		local = max(local, p.minInterval(localNodes, localBytesPerSecond))
	}
	remote = max(min(baseInterval+time.Duration(remoteNodes)*intervalPerRemoteNode, maxRemoteInterval),
		p.minInterval(remoteNodes, remoteBytesPerSecond))
	return local, max(local, remote)
}

// minInterval is the shortest interval at which reports to the nodes stay within the rate in bytes a second.
func (p *pacer) minInterval(nodes, bytes int) time.Duration {
	return time.Duration(float64(nodes) * p.meanSize / float64(bytes) * float64(time.Second))
}

// intervals returns the intervals between reports to the nodes of this data centre and to those of the others. The lock is
// held.
func (m *Mesh) intervals(forwards bool) (local, remote time.Duration) {
	localNodes := 0
	for _, p := range m.peers {
		if p.dataCentre == m.deps.DataCentre {
			localNodes++
		}
	}
	return m.pacer.intervals(localNodes, len(m.peers)-localNodes, forwards)
}
