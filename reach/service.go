package reach

import (
	"sync/atomic"
	"time"
)

// service is this node's evidence on one service. Its fields are written on the path of requests, without a lock.
type service struct {
	name string
	// waiting counts the requests that wait for an endpoint or receive from one.
	waiting atomic.Int64
	// The instants are nanoseconds since the monitor's start, 0 for none.
	waitingSince, heardAt, troubledAt, checkedAt atomic.Int64
	lost                                         atomic.Bool
	// checking is true while a check runs.
	checking atomic.Bool
	// lostSince is when the service was lost, for the log.
	lostSince atomic.Int64
	// rotation is the position among the endpoints at which the next check begins.
	rotation atomic.Uint64
}

// evidence returns what is known of the service.
func (m *Monitor) evidence(s *service, now time.Time) evidence {
	e := evidence{
		heardAt: m.instant(s.heardAt.Load()), troubledAt: m.instant(s.troubledAt.Load()), checkedAt: m.instant(s.checkedAt.Load()),
		lost: s.lost.Load(), wanted: m.peers.wants(s.name, now),
	}
	if s.waiting.Load() > 0 {
		e.waitingSince = m.instant(s.waitingSince.Load())
	}
	return e
}

func (m *Monitor) instant(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return m.start.Add(time.Duration(nanos))
}

// since is the present as the services' instants have it.
func (m *Monitor) since() int64 { return max(int64(time.Since(m.start)), 1) }
