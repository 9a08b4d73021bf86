package engine

// runLog keeps runs in order of arrival, up to runLimit.
type runLog struct {
	runs []*Run
}

// runLimit is the maximum size of the log; when it is reached the oldest half is
// dropped.
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
