package routing

// Filter says whether a candidate may serve the ask.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer adds to each candidate's Estimate what it knows. Scorers run in the order
// of the pipeline, and a later one may use what an earlier one has found.
type Scorer interface {
	Score(r *Request, candidates []Candidate)
}

// Picker chooses among the candidates left, of which there is at least one.
type Picker interface {
	Pick(r *Request, candidates []Candidate) int
}

// Pipeline is the order of steps of a decision.
type Pipeline struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// NewPipeline returns the steps in their usual order.
func NewPipeline(o Options) Pipeline {
	return Pipeline{
		Filters: []Filter{
			LeavingFilter{},
			EjectedFilter{ProbeTimeout: o.ProbeTimeout},
			SuspectFilter{},
			SaturationFilter{Detector: SaturationDetector{TokenInterval: o.TokenInterval.Seconds()}},
		},
		Scorers: []Scorer{
			PrefixScorer{},
			SessionScorer{TTL: o.SessionTTL},
			OutstandingScorer{RequestOverheadTokens: o.RequestOverheadTokens},
			ReportScorer{MaxAge: o.MaxReportAge, Weight: o.ReportWeight},
			SpeedScorer{PrefillWeight: o.PrefillWeight},
			StragglerScorer{Ratio: o.StragglerRatio, ProbeInterval: o.ProbeInterval, PrefillWeight: o.PrefillWeight},
			StallScorer{TimeoutSeconds: o.StallTimeout.Seconds()},
		},
		Picker: CompletionPicker{TieMargin: o.TieMargin},
	}
}

// Filter returns the candidates that all filters keep, in the same array.
func (p *Pipeline) Filter(r *Request, candidates []Candidate) []Candidate {
	kept := 0
	for i := range candidates {
		if !p.keep(r, &candidates[i]) {
			continue
		}
		if kept != i {
			candidates[kept] = candidates[i]
		}
		kept++
	}
	return candidates[:kept]
}

func (p *Pipeline) keep(r *Request, c *Candidate) bool {
	for _, filter := range p.Filters {
		if !filter.Keep(r, c) {
			return false
		}
	}
	return true
}

// Score fills in the candidates' estimates, which must be zero before.
func (p *Pipeline) Score(r *Request, candidates []Candidate) {
	for _, scorer := range p.Scorers {
		scorer.Score(r, candidates)
	}
}

// Choose scores all candidates and picks one.
func (p *Pipeline) Choose(r *Request, candidates []Candidate) *Candidate {
	p.Score(r, candidates)
	return &candidates[p.Picker.Pick(r, candidates)]
}
