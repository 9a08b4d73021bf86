package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornrill.example/hawthornrill/domain"
)

// Row summarises the requests of a group.
type Row struct {
	Group string `json:"group"`
	// Offered counts all requests except those whose caller hangs up, Admitted those
	// that an endpoint ran.
	Offered  int `json:"offered"`
	Admitted int `json:"admitted"`
	// OnTime is the goodput: requests with a complete answer within the caller's
	// timeout. Prompt is the part of it that also met the target for the first token.
	OnTime  int `json:"on_time"`
	Prompt  int `json:"prompt"`
	Late    int `json:"late"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	Ran     int `json:"ran"`
	Broken  int `json:"broken"`
	HungUp  int `json:"hung_up"`
	// Bound is the result of GoodputBound, zero if there is none.
	Bound int `json:"bound"`
	// First holds the quantiles of the time to first token.
	First Quantiles `json:"first_token"`

	firstTokenHistogram *hdrhistogram.Histogram
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

// Goodput returns the share of the offered requests that were answered on time.
func (r *Row) Goodput() float64 { return share(r.OnTime, r.Offered) }

func share(part, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(part) / float64(of)
}

// Prefill counts prompt tokens.
type Prefill struct {
	Done   uint64 `json:"done"`
	Reused uint64 `json:"reused"`
	// Repeated counts tokens that some engine had already computed, RepeatedSame those
	// that the same engine had computed and had evicted or not yet cached.
	Repeated     uint64 `json:"repeated"`
	RepeatedSame uint64 `json:"repeated_same_engine"`
	// Abandoned counts tokens computed for requests that did not finish.
	Abandoned uint64 `json:"abandoned"`
}

// Wasted returns the number of tokens that were abandoned or recomputed. A token that
// was both is counted twice.
func (p Prefill) Wasted() uint64 { return p.Repeated + p.Abandoned }

// Report holds the measurements of a run.
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

	interTokenLatency *hdrhistogram.Histogram
}

// NewReport returns the report of a run.
func NewReport(w *Workload, policy string, record *Record, server *ServerRecord, bound map[domain.Tier]int) *Report {
	s := newSummary(server)
	for i := range record.Results {
		s.add(&record.Results[i])
	}
	report := &Report{
		Workload:          w.Name,
		Policy:            policy,
		Seed:              w.Options.Seed,
		Load:              w.Options.Load,
		Seconds:           w.Duration.Seconds(),
		Total:             s.total.finish(),
		Calls:             s.calls.finish(),
		Gaps:              quantiles(record.InterTokenLatency),
		Codes:             s.codes,
		Dropped:           record.Dropped,
		PeerMessages:      server.PeerMessages,
		PeerBytes:         server.PeerBytes,
		StoreReads:        server.StoreReads,
		StoreWrites:       server.StoreWrites,
		StoreWatches:      server.StoreWatches,
		Verdict:           Verify(record, server),
		Took:              record.Elapsed,
		interTokenLatency: record.InterTokenLatency,
	}
	report.Tiers, report.Organisations = s.rows(bound)
	report.Kinds = finishAll(s.kinds)
	for i := range report.Tiers {
		report.Total.Bound += report.Tiers[i].Bound
	}
	report.addEngineCounts(server)
	return report
}

func (r *Report) addEngineCounts(server *ServerRecord) {
	for _, c := range server.Counts {
		r.Prefill.Done += c.PrefillDone
		r.Prefill.Reused += c.PrefillReused
		r.Prefill.RepeatedSame += c.PrefillRepeated
		r.Prefill.Abandoned += c.PrefillAbandoned
		r.Generated += c.Generated
	}
	r.Prefill.Repeated = server.Repeated
}
