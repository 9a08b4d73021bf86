package sizing

// StoreCalls returns the store calls of each purpose.
func StoreCalls() []StoreCall {
	const outage, return48 = "in an outage", "48 hosts return in 10 s"
	return []StoreCall{
		{"edits of the configuration: parts and head", true, "config_changes * document_store_writes_base", Always},
		{"edits of ledger tables: three changes and their settlements a life", true, "life_changes * table_edits_per_life * document_store_writes_base", Always},
		{"leases of the models' coordinators", true, "renewals_per_lease * models / coordinator_lease_seconds", Always},
		{"watches of the configuration, and the head read after each", false, "2 * watchers * data_centres / watch_seconds", Always},
		{"watches of ledger tables, in their own data centre, likewise", false, "2 * watchers * data_centres / watch_seconds", Always},
		{"watches of the leases by candidates that do not hold them, and the key read after each", false, "2 * (candidates - 1) * models / (2 * 2 * coordinator_lease_seconds)", Always},
		{"changes of the configuration read by the watchers", false, "config_changes * data_centres * document_store_reads_base", Always},
		{"changes of ledger tables read by the watchers and editors", false, "life_changes * table_edits_per_life * document_store_reads_base", Always},
		{"attempts of the watchers", false, "table_watchers / backoff_seconds", outage},
		{"places in the table", true, "switch_hosts * 2 * document_store_writes_base / return_seconds", return48},
	}
}
