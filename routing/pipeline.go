package routing

// Filter decides whether a candidate may serve the request.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer refines the Estimate of each candidate. Scorers run in pipeline order and may use the results
// of earlier ones.
type Scorer interface {
	Score(r *Request, candidates []Candidate)
}

// Picker selects one of the remaining candidates, of which there is at least one.
type Picker interface {
	Pick(r *Request, candidates []Candidate) int
}

// Pipeline is the sequence of steps of a routing decision.
type Pipeline struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// NewPipeline returns the default pipeline.
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

// Filter returns the candidates that pass all filters, reusing the slice's array.
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

// Score fills in the candidates' estimates, which must be zero.
func (p *Pipeline) Score(r *Request, candidates []Candidate) {
	for _, scorer := range p.Scorers {
		scorer.Score(r, candidates)
	}
}

// Choose scores all candidates and returns the selected one.
func (p *Pipeline) Choose(r *Request, candidates []Candidate) *Candidate {
	p.Score(r, candidates)
	return &candidates[p.Picker.Pick(r, candidates)]
}
