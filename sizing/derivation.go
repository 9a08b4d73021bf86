package sizing

// Derivation is a named intermediate value that several formulas use.
type Derivation struct {
	Name    string
	Unit    string
	Formula Formula
}

// Derivations returns the derived values in order of evaluation: each may use only
// those before it.
func Derivations() []Derivation {
	var all []Derivation
	for _, list := range [][]Derivation{loadDerivations, eventRates, messageRates, linkDerivations, eventDerivations} {
		all = append(all, list...)
	}
	return all
}

// loadDerivations are the load on an average node and the sizes of pools and data
// centres.
var loadDerivations = []Derivation{
	{"nodes_per_dc", "nodes", "nodes / data_centres"},
	{"peers_in_dc", "nodes", "nodes_per_dc - 1"},
	{"other_dcs", "data centres", "data_centres - 1"},
	{"pools", "pools", "models * data_centres"},
	{"pools_per_node", "pools", "pools / nodes"},
	{"pool_endpoints", "engines", "runners / pools"},
	{"owned_endpoints", "engines", "runners / nodes"},
	{"owners_per_dc", "nodes that own a pool", "nodes_per_dc * (1 - exp(-models / nodes_per_dc))"},
	{"node_requests", "requests/s", "requests_per_second / nodes"},
	{"node_tokens", "tokens/s", "tokens_per_second / nodes"},
	{"answer_tokens", "tokens", "tokens_per_second / requests_per_second"},
	{"stream_seconds", "s", "first_token_seconds + answer_tokens * token_gap_seconds"},
	{"node_streams", "open streams", "node_requests * stream_seconds"},
	{"node_waiting", "asks", "node_requests * burst_seconds"},
	{"prompt_blocks", "blocks", "prompt_tokens / block_tokens"},
	{"progress_changes", "changes a request", "stream_seconds / renew_seconds"},
	{"dc_records", "requests remembered", "requests_per_second / data_centres * retention_seconds"},
	{"organisations_in_use", "organisations, at most", "min(organisations, node_streams)"},
	{"cache_events", "events/s a node", "node_requests * prompt_blocks * uncached_part * 2"},
}

// eventRates are the rates of configuration changes, restarts and failures.
var eventRates = []Derivation{
	{"config_changes", "changes/s", "config_changes_per_day / seconds_per_day"},
	{"life_changes", "lives/s", "(restarts_per_day + failures_per_day) / seconds_per_day"},
	{"table_losses", "epochs/s a data centre that collect all records", "(2 * restarts_per_day + failures_per_day) / data_centres / seconds_per_day"},
}

// eventDerivations are values that the formulas of events use.
var eventDerivations = []Derivation{
	{"table_watchers", "calls that wait at the store all the time", "2 * watchers * data_centres"},
	{"burst_at_busiest", "asks", "requests_per_second / data_centres * busiest_pool_part * burst_seconds"},
}

// messageRates are the messages, replies included, that an average node sends per
// second, and the values that they are computed from.
var messageRates = []Derivation{
	{"renewal_messages", "messages/s", "2 * owners_per_dc / renew_seconds"},
	{"limits_messages", "messages/s", "organisations_in_use * limits_fleet_messages"},
	{"membership_messages", "messages/s", "membership_rest_messages_base + other_dcs * membership_exchange_messages / nodes_per_dc"},
	{"confirm_messages", "messages/s", "(ledger_rest_messages_base + ledger_rest_messages * nodes_per_dc) * 2 / fence_seconds"},
	{"collect_messages", "messages/s", "table_losses * 2 * peers_in_dc"},
	{"foreign_fetches", "fetches/s", "life_changes * fetches_per_life"},
	{"change_messages", "messages a change", "document_change_messages_base + document_change_messages * nodes_per_dc"},
	{"document_messages", "messages/s", "document_rest_messages_base + config_changes * change_messages"},
	{"demand_messages", "messages/s", "candidates * pools_per_node / coordinator_seconds"},
	{"control_messages", "messages/s", "demand_messages + renewal_messages + limits_messages + membership_messages + confirm_messages + collect_messages + 2 * foreign_fetches + document_messages"},
	{"ledger_messages", "messages/s", "node_requests * (ledger_request_messages_base + ledger_request_messages * nodes_per_dc)"},
	{"grant_messages", "messages/s", "node_requests * grant_request_messages_base"},
	{"request_messages", "messages/s", "ledger_messages + grant_messages"},
	{"message_overhead", "bytes a message", "link_wire_bytes_base + ip_tcp_bytes"},
}

// linkDerivations are the open links between nodes. A node picks the peers it contacts
// at random; exp(-k/n) is the fraction of n nodes that k random contacts miss.
var linkDerivations = []Derivation{
	{"limits_partners", "part of all nodes", "1 - exp(-organisations_in_use / nodes)"},
	{"limits_links", "links", "nodes * limits_partners * (2 - limits_partners)"},
	{"exchange_meetings", "contacts with a data centre before a link is idle", "link_idle_seconds / exchange_seconds"},
	{"exchange_missed", "part of a data centre", "exp(-exchange_meetings / nodes_per_dc)"},
	{"exchange_links", "links", "min(nodes - nodes_per_dc, 2 * delegates * other_dcs * (1 - exchange_missed))"},
	{"exchange_openings", "openings/s", "delegates * other_dcs / exchange_seconds * exchange_missed / nodes_per_dc"},
	{"foreign_links", "links", "2 * foreign_fetches * link_idle_seconds"},
	{"candidate_links", "links", "2 * candidates * pools_per_node"},
	{"bucket_messages", "messages/s", "2 * limits_buckets / quiet_seconds * (1 + 1 / nodes_per_dc)"},
	{"list_changed_part", "part of the readings", "min(1, 2 * life_changes * list_seconds)"},
	{"owned_pools_most", "pools", "owned_pools_busiest_base + owned_pools_busiest * models"},
}
