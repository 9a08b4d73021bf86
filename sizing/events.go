package sizing

// Events returns the failures and changes that the page covers.
func Events() []Event {
	return []Event{
		nodeRestartEvent(), nodeFailureEvent(), switchFailureEvent(), dataCentreFailureEvent(),
		partitionEvent(), storeOutageEvent(), loadBurstEvent(), configChangeEvent(),
	}
}

func nodeRestartEvent() Event {
	return Event{
		Name:         "a node is restarted or replaced",
		Mechanism:    "notice, drain, hand-over of records, farewell; the next life joins by one peer, takes the configuration from peers and its place in the ledger table by one write",
		CallerImpact: "nothing is cut: streams end at the old life, new requests go elsewhere after the notice; keys decided in the data centre wait while records are collected",
		Estimates: []Estimate{
			{"time between restarts of the fleet", Seconds, "seconds_per_day / restarts_per_day"},
			{"membership messages in the fleet", Count, "membership_restart_messages_base + membership_restart_messages * nodes"},
			{"membership bytes at a node", ByteCount, "membership_restart_bytes"},
			{"ledger records sent to a node of the data centre, leave and removal", ByteCount, "2 * ledger_loss_bytes * dc_records / nodes_per_dc"},
			{"grants and asks told to new owners, away and back", ByteCount, "2 * pools_per_node * node_streams * nodes / pools * (grant_request_bytes_base + grant_request_bytes * prompt_blocks)"},
			{"configuration fetched by the new life", ByteCount, "document_whole_bytes_base + document_whole_bytes * organisations"},
			{"processor time of its links, both ends", Seconds, "peers_in_dc * link_opening_ns / ns_per_second"},
			{"time to settle: notice and streams to their end", Seconds, "notice_seconds + stream_seconds"},
		},
	}
}

func nodeFailureEvent() Event {
	return Event{
		Name:         "a node dies",
		Mechanism:    "probes, relays and suspicion within the data centre; grants of silent holders expire; the life leaves the ledger table once it is off the host list too",
		CallerImpact: "its streams break; callers come back anywhere with their key and get the rest from the engine, or the truth; keys whose home it was are answered `unknown` until it is out of the table",
		Estimates: []Estimate{
			{"streams broken", Count, "node_streams"},
			{"time until a node of its data centre holds it unreachable, at most", Seconds, "2 * 2 * probe_seconds + probe_timeout + 2 * probe_timeout + suspicion_seconds"},
			{"time until its places are free", Seconds, "grant_ttl_seconds"},
			{"time until its keys have a new home, at least", Seconds, "gone_seconds"},
			{"attempts answered `unknown` meanwhile, at the peak and at most", Count, "node_requests * gone_seconds"},
			{"part of a day's requests so answered, all deaths, at most", Fraction, "failures_per_day * node_requests * gone_seconds / (requests_per_second * seconds_per_day)"},
			{"ledger records sent to a node of the data centre", ByteCount, "ledger_loss_bytes * dc_records / nodes_per_dc"},
		},
	}
}

func switchFailureEvent() Event {
	return Event{
		Name:         "a switch takes 48 hosts at once",
		Mechanism:    "the data centre's delegates no longer answer: others hold it cut off; its callers come in elsewhere by the platform's balancer; its keys stay undecided",
		CallerImpact: "streams break and are resumed elsewhere; keys decided in that data centre are `unknown` until its hosts are back, and those without a record for the loss window after it",
		Estimates: []Estimate{
			{"streams broken", Count, "switch_hosts * node_streams"},
			{"time until another data centre holds it cut off, at most about", Seconds, "exchange_seconds + 2 * 2 * exchange_timeout - exchange_timeout / 2"},
			{"more load for the others", Fraction, "switch_hosts / (nodes - switch_hosts)"},
			{"keys that were being decided there", Fraction, "switch_hosts / nodes"},
			{"after the return: keys without a record are `unknown` for", Seconds, "retention_seconds + 2 * fence_seconds"},
			{"configuration fetched when all come back at once", ByteCount, "switch_hosts * (document_whole_bytes_base + document_whole_bytes * organisations)"},
			{"processor time of their links among each other, one end of it a node", Seconds, "switch_hosts * link_opening_ns / 2 / ns_per_second"},
			{"calls to the store for their places in the table", Count, "switch_hosts * (document_store_reads_base + document_store_writes_base)"},
		},
	}
}

func dataCentreFailureEvent() Event {
	return Event{
		Name:         "a data centre dies",
		Mechanism:    "as for the switch; pools are a data centre's own, so no owner elsewhere changes; asks go to other data centres' owners before anything is shed",
		CallerImpact: "as for the switch; what is left of capacity goes to the higher tiers first, the lowest is told `not_run` with Retry-After",
		Estimates: []Estimate{
			{"streams broken", Count, "node_streams * nodes_per_dc"},
			{"engines lost", Count, "runners / data_centres"},
			{"more load for the others", Fraction, "1 / other_dcs"},
			{"part of capacity lost", Fraction, "1 / data_centres"},
			{"requests a second that move to other data centres", PerSecond, "requests_per_second / data_centres"},
		},
	}
}

func partitionEvent() Event {
	return Event{
		Name:         "regions part for an hour and meet again",
		Mechanism:    "each side serves what it decides; accepted configuration stays, the side with the store goes on editing; delegates go on trying; on meeting, tables and documents are compared by digest",
		CallerImpact: "keys decided on the other side are `unknown`; all else is served; an organisation may use up to its limit on each side",
		Estimates: []Estimate{
			{"configurations that one side lacks in the end", Count, "config_changes * seconds_per_hour"},
			{"bytes to catch up at a node, at most the whole table", ByteCount, "min(config_changes * seconds_per_hour * (document_change_bytes_base + document_change_bytes * organisations), document_whole_bytes_base + document_whole_bytes * organisations)"},
			{"lives that began and ended meanwhile", Count, "life_changes * seconds_per_hour"},
			{"time until the two sides see each other", Seconds, "exchange_seconds"},
			{"time until all have the configuration, after that, about", Seconds, "2 * anti_entropy_seconds"},
		},
	}
}

func storeOutageEvent() Event {
	return Event{
		Name:         "the store is down for an hour",
		Mechanism:    "nothing on a request's path needs it; nodes back off with jitter, one call at a time; a node that starts takes the configuration from peers",
		CallerImpact: "nothing at first; keys whose home has ended since are `unknown` until the store is back; edits are refused, or `unknown` if they may have been accepted",
		Estimates: []Estimate{
			{"lives that end and can't be taken out of their table", Count, "life_changes * seconds_per_hour"},
			{"part of keys answered `unknown` at its end", Fraction, "life_changes * seconds_per_hour / nodes"},
			{"calls when it is back, a second, spread by the backoff", PerSecond, "(table_watchers + life_changes * seconds_per_hour) / backoff_seconds"},
		},
	}
}

func loadBurstEvent() Event {
	return Event{
		Name:         "a burst of twice the peak",
		Mechanism:    "owners queue by tier and weight, refuse what can't be on time, revoke the lowest tier's grants for a higher one",
		CallerImpact: "the highest tier is served; the lowest waits, then is told `not_run` with Retry-After",
		Estimates: []Estimate{
			{"asks that wait for a node's callers", Count, "node_waiting"},
			{"memory of them at a node: entry and owner", ByteCount, "node_waiting * (waiting_request_bytes + owner_ask_bytes)"},
			{"per-request messages of a node, a second", PerSecond, "2 * request_messages"},
			{"decision of the busiest owner with its asks waiting", Seconds, "(owner_decision_ns_base + owner_decision_waiting_ns * burst_at_busiest) / ns_per_second"},
			{"its ticks, part of a core", Fraction, "owner_tick_ns * burst_at_busiest / tick_seconds / ns_per_second"},
			{"choice of a grant to revoke there", Seconds, "(owner_revocation_ns_base + owner_revocation_ns * busiest_pool_part * runners / data_centres) / ns_per_second"},
		},
	}
}

func configChangeEvent() Event {
	return Event{
		Name:         "a configuration is changed",
		Mechanism:    "one write of the changed part and of the head; two watchers a data centre, then a tree of eight children a node; a node compiles the whole table",
		CallerImpact: "nothing",
		Estimates: []Estimate{
			{"time between changes", Seconds, "1 / config_changes"},
			{"messages at a node", Count, "change_messages"},
			{"bytes at a node", ByteCount, "document_change_bytes_base + document_change_bytes * organisations"},
			{"processor time of a node", Seconds, "(config_change_ns_base + config_change_ns * organisations) / ns_per_second"},
			{"time until it is in force everywhere, no message lost, about", Seconds, "store_seconds + 2 * far_seconds + 2 * 2 * 2 * near_seconds + (config_change_ns_base + config_change_ns * organisations) / ns_per_second"},
			{"if an announcement is lost: the next comparison, about", Seconds, "2 * anti_entropy_seconds"},
			{"the users' limit", Seconds, "config_seconds"},
		},
	}
}
