package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornrill.example/hawthornrill/domain"
)

// Row sums up the requests of a group.
type Row struct {
	Group string `json:"group"`
	// Offered counts requests but for those whose callers hung up, Admitted those
	// that an endpoint ran.
	Offered  int `json:"offered"`
	Admitted int `json:"admitted"`
	// OnTime is the goodput: answered once, complete and within the callers'
	// patience. Prompt is the part of it whose first token met its aim too.
	OnTime  int `json:"on_time"`
	Prompt  int `json:"prompt"`
	Late    int `json:"late"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	Ran     int `json:"ran"`
	Broken  int `json:"broken"`
	HungUp  int `json:"hung_up"`
	// GoodputBound is the clairvoyant estimate, zero where there is none.
	Bound int `json:"bound"`
	// First holds quantiles of the time to the first token.
	First Quantiles `json:"first_token"`

	first *hdrhistogram.Histogram
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Goodput is the part of the offered requests that was answered on time.
func (r *Row) Goodput() float64 { return share(r.OnTime, r.Offered) }

func share(part, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(part) / float64(of)
}

// Prefill is the account of prompt tokens.
type Prefill struct {
	Done   uint64 `json:"done"`
	Reused uint64 `json:"reused"`
	// Repeated tokens had been computed before at some engine; RepeatedSame of them
	// at the same one, which had evicted them or not stored them yet.
	Repeated     uint64 `json:"repeated"`
	RepeatedSame uint64 `json:"repeated_same_engine"`
	// Abandoned tokens were computed for requests that did not finish.
	Abandoned uint64 `json:"abandoned"`
}

// Wasted is what was thrown away or done again. A token that was both is counted
// twice.
func (p Prefill) Wasted() uint64 { return p.Repeated + p.Abandoned }

// Report is what a run measured.
type Report struct {
	Workload string  `json:"workload"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Load     float64 `json:"load"`
	Seconds  float64 `json:"seconds"`

	Total         Row   `json:"total"`
	Tiers         []Row `json:"tiers"`
	Organisations []Row `json:"organisations"`
	Kinds         []Row `json:"kinds"`
	Calls         Row   `json:"calls"`

	Prefill   Prefill        `json:"prefill"`
	Generated uint64         `json:"generated"`
	Gaps      Quantiles      `json:"between_tokens"`
	Codes     map[string]int `json:"codes"`
	Dropped   int            `json:"dropped"`

	PeerMessages int    `json:"peer_messages"`
	PeerBytes    int    `json:"peer_bytes"`
	StoreReads   uint64 `json:"store_reads"`
	StoreWrites  uint64 `json:"store_writes"`
	StoreWatches uint64 `json:"store_watches"`

	Verdict Verdict       `json:"verdict"`
	Took    time.Duration `json:"took_ns"`

	gaps *hdrhistogram.Histogram
}

// NewReport makes the report of a run.
func NewReport(w *Workload, policy string, record *Record, witness *ServerRecord, bound map[domain.Tier]int) *Report {
	s := newSummary(witness)
	for i := range record.Results {
		s.add(&record.Results[i])
	}
	report := &Report{
		Workload:     w.Name,
		Policy:       policy,
		Seed:         w.Options.Seed,
		Load:         w.Options.Load,
		Seconds:      w.Duration.Seconds(),
		Total:        s.total.finish(),
		Calls:        s.calls.finish(),
		Gaps:         quantiles(record.InterTokenLatency),
		Codes:        s.codes,
		Dropped:      record.Dropped,
		PeerMessages: witness.PeerMessages,
		PeerBytes:    witness.PeerBytes,
		StoreReads:   witness.StoreReads,
		StoreWrites:  witness.StoreWrites,
		StoreWatches: witness.StoreWatches,
		Verdict:      Verify(record, witness),
		Took:         record.Elapsed,
		gaps:         record.InterTokenLatency,
	}
	report.Tiers, report.Organisations = s.rows(bound)
	report.Kinds = finishAll(s.kinds)
	for i := range report.Tiers {
		report.Total.Bound += report.Tiers[i].Bound
	}
	report.sumEngines(witness)
	return report
}

func (r *Report) sumEngines(w *ServerRecord) {
	for _, c := range w.Counts {
		r.Prefill.Done += c.PrefillDone
		r.Prefill.Reused += c.PrefillReused
		r.Prefill.RepeatedSame += c.PrefillRepeated
		r.Prefill.Abandoned += c.PrefillAbandoned
		r.Generated += c.Generated
	}
	r.Prefill.Repeated = w.Repeated
}
