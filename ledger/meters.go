package ledger

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the ledger's metrics.
type meters struct {
	verdicts      map[Verdict]*metrics.Counter
	errors        map[error]*metrics.Counter
	retries       *metrics.Counter
	revoked       *metrics.Counter
	takenOver     *metrics.Counter
	epochs        *metrics.Counter
	collected     *metrics.Counter
	mirroredAgain *metrics.Counter
}

// verdictNames are the values of the label "verdict".
var verdictNames = map[Verdict]string{
	VerdictGranted:  "granted",
	VerdictAttached: "attached",
	VerdictFinished: "finished",
	VerdictTakeover: "takeover",
	VerdictRan:      "ran",
}

// errorNames are the values of the label "reason".
var errorNames = map[error]string{
	ErrUnknown:             "unknown",
	ErrFingerprintMismatch: "fingerprint",
	ErrFull:                "full",
	ErrRevoked:             "revoked",
	ErrNotFound:            "not_found",
}

// newMeters registers the metrics in the set.
func newMeters(set *metrics.Set, r *Replica) *meters {
	m := &meters{
		verdicts:      make(map[Verdict]*metrics.Counter),
		errors:        make(map[error]*metrics.Counter),
		retries:       set.GetOrCreateCounter("hawthornrill_ledger_retries_total"),
		revoked:       set.GetOrCreateCounter("hawthornrill_ledger_claims_revoked_total"),
		takenOver:     set.GetOrCreateCounter("hawthornrill_ledger_takeovers_total"),
		epochs:        set.GetOrCreateCounter("hawthornrill_ledger_epochs_total"),
		collected:     set.GetOrCreateCounter("hawthornrill_ledger_records_collected_total"),
		mirroredAgain: set.GetOrCreateCounter("hawthornrill_ledger_records_mirrored_again_total"),
	}
	for verdict, name := range verdictNames {
		m.verdicts[verdict] = set.GetOrCreateCounter(`hawthornrill_ledger_verdicts_total{verdict="` + name + `"}`)
	}
	for err, name := range errorNames {
		m.errors[err] = set.GetOrCreateCounter(`hawthornrill_ledger_errors_total{reason="` + name + `"}`)
	}
	set.GetOrCreateGauge("hawthornrill_ledger_records", func() float64 { return float64(r.recordCount()) })
	set.GetOrCreateGauge("hawthornrill_ledger_epoch", func() float64 { return float64(r.epoch()) })
	set.GetOrCreateGauge("hawthornrill_ledger_awaited_members", func() float64 { return float64(len(r.awaited())) })
	return m
}

// countError counts an error returned to a caller.
func (m *meters) countError(err error) {
	for known, counter := range m.errors {
		if errors.Is(err, known) {
			counter.Inc()
			return
		}
	}
}
