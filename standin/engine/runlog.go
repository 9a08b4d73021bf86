package engine

// runLog keeps the runs in order of arrival, up to a bound.
type runLog struct {
	runs []*Run
}

// runLimit bounds the log; beyond it the oldest half is forgotten.
const runLimit = 1 << 20

func (l *runLog) add(r Run) *Run {
	if len(l.runs) >= runLimit {
		l.runs = append(l.runs[:0], l.runs[runLimit/2:]...)
	}
	l.runs = append(l.runs, &r)
	return &r
}

func (l *runLog) copy() []Run {
	runs := make([]Run, len(l.runs))
	for i, r := range l.runs {
		runs[i] = *r
	}
	return runs
}
