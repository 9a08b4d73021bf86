package gossip

import "time"

const (
	// reportEvery is the pause between reports to the nodes of the same data centre, and perNear what each of them adds,
	// so that a node sends below three hundred reports a second in a data centre of any size.
	reportEvery = 60 * time.Millisecond
	perNear     = 3 * time.Millisecond
	// perFar is what each node of another data centre adds to the pause between reports to those, up to farMost: bytes
	// between data centres cost, and their nodes share fewer endpoints with this one.
	perFar  = 12 * time.Millisecond
	farMost = 450 * time.Millisecond
	// nearBytes and farBytes bound what a node sends in a second to the nodes of its data centre and to all others, from
	// some 70 nodes on: about what it sends at that size. Without them each node's bytes grow with the fleet, and all
	// nodes' with its square. On one day of 30, 100 and 300 nodes without and with them: 158, 848, 2,323 and 157, 539, 729
	// KB a second at each node, requests included; prices 0.063, 0.765, 8.09 and 0.063, 0.484, 1.52 of the day, nearly all
	// for bytes between data centres; requests served 0.868, 0.906, 0.210 and 0.886, 0.912, 0.804.
	//
	// The node that passes changes on is not bound within its data centre: that an endpoint leaves must be known there
	// within seconds, and it is one node only.
	nearBytes = 200_000
	farBytes  = 120_000
)

// pace spaces the reports.
type pace struct {
	// size is the mean size of the last reports in bytes.
	size float64
}

// sizeWeight is the part by which a report's size moves the mean.
const sizeWeight = 0.1

// saw notes the size of a report, 0 if none was sent.
func (p *pace) saw(size int) {
	switch {
	case size == 0:
	case p.size == 0:
		p.size = float64(size)
	default:
		p.size += sizeWeight * (float64(size) - p.size)
	}
}

// pauses returns those between reports to the nodes of this data centre and to the others, of which there are so many.
func (p *pace) pauses(local, others int, passesOn bool) (near, far time.Duration) {
	near = reportEvery + time.Duration(local)*perNear
	if !passesOn {
		near = max(near, p.bounded(local, nearBytes))
	}
	far = max(min(reportEvery+time.Duration(others)*perFar, farMost), p.bounded(others, farBytes))
	return near, max(near, far)
}

// bounded is the pause with which reports to so many nodes keep to the bytes a second.
func (p *pace) bounded(nodes, bytes int) time.Duration {
	return time.Duration(float64(nodes) * p.size / float64(bytes) * float64(time.Second))
}

// pauses returns those between reports to the nodes of this data centre and to the others. The lock is held.
func (m *Mesh) pauses(passesOn bool) (near, far time.Duration) {
	local := 0
	for _, p := range m.peers {
		if p.centre == m.parts.DataCentre {
			local++
		}
	}
	return m.pace.pauses(local, len(m.peers)-local, passesOn)
}
