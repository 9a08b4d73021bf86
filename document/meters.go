package document

import "github.com/VictoriaMetrics/metrics"

// meters are the package's metrics.
type meters struct {
	applyErrors *metrics.Counter
	pulls       *metrics.Counter
	pulledBytes *metrics.Counter
	pullErrors  *metrics.Counter
	healed      *metrics.Counter
	repairs     *metrics.Counter
	collected   *metrics.Counter
}

func newMeters(set *metrics.Set) meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return meters{
		applyErrors: set.GetOrCreateCounter("hawthornrill_document_apply_errors_total"),
		pulls:       set.GetOrCreateCounter("hawthornrill_document_pulls_total"),
		pulledBytes: set.GetOrCreateCounter("hawthornrill_document_pulled_bytes_total"),
		pullErrors:  set.GetOrCreateCounter("hawthornrill_document_pull_errors_total"),
		healed:      set.GetOrCreateCounter("hawthornrill_document_healed_total"),
		repairs:     set.GetOrCreateCounter("hawthornrill_document_store_repairs_total"),
		collected:   set.GetOrCreateCounter("hawthornrill_document_parts_collected_total"),
	}
}
