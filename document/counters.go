package document

import "github.com/VictoriaMetrics/metrics"

// counters holds the package's metrics.
type counters struct {
	applyErrors        *metrics.Counter
	pulls              *metrics.Counter
	pulledBytes        *metrics.Counter
	pullErrors         *metrics.Counter
	antiEntropyFetches *metrics.Counter
	storeRepairs       *metrics.Counter
	partsCollected     *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return counters{
		applyErrors:        set.GetOrCreateCounter("hawthornrill_document_apply_errors_total"),
		pulls:              set.GetOrCreateCounter("hawthornrill_document_pulls_total"),
		pulledBytes:        set.GetOrCreateCounter("hawthornrill_document_pulled_bytes_total"),
		pullErrors:         set.GetOrCreateCounter("hawthornrill_document_pull_errors_total"),
		antiEntropyFetches: set.GetOrCreateCounter("hawthornrill_document_healed_total"),
		storeRepairs:       set.GetOrCreateCounter("hawthornrill_document_store_repairs_total"),
		partsCollected:     set.GetOrCreateCounter("hawthornrill_document_parts_collected_total"),
	}
}
