package sizing

// Replacements returns the alternatives considered for mechanisms that must change
// before the fleet reaches the design size.
func Replacements() []Replacement {
	return []Replacement{
		limitsReplacement(), limitsLinksReplacement(), hostListReplacement(), renewalsReplacement(),
		loadReportsReplacement(), engineReadsReplacement(), exchangeOpeningsReplacement(), exchangeLinksReplacement(), recordCollectionReplacement(),
	}
}

func limitsReplacement() Replacement {
	return Replacement{
		Role: "limits", ItemDescription: "reports and replies",
		Alternatives: []Alternative{
			{Name: "today's, every 32 s", Formula: "(organisations_in_use * limits_payload_bytes + limits_messages * message_overhead) * quiet_seconds / slow_quiet_seconds", Remark: "shares lag by half a minute; the links stay"},
			{Name: "an owner in each data centre, with a part of the limit that moves slowly between them", Formula: "organisations_in_use * limits_payload_bytes + 2 * nodes_per_dc * (1 - exp(-organisations_in_use / nodes_per_dc)) / quiet_seconds * message_overhead", Remark: "no link between data centres; a limit can't be used where the load has just moved"},
			{Name: "two levels: organisations in buckets, a collector for each bucket in each data centre, one of them the owner", Formula: "organisations_in_use * limits_payload_bytes + organisations * limits_payload_bytes / nodes_per_dc + bucket_messages * message_overhead", Remark: "one hop more until a share grows"},
			{Name: "two levels, and only what has changed, with a digest of the rest", Formula: "changed_part * (organisations_in_use * limits_payload_bytes + organisations * limits_payload_bytes / nodes_per_dc) + bucket_messages * message_overhead", Remark: "as above; the account by digests is that of capacity's renewals", Chosen: true},
		},
	}
}

func limitsLinksReplacement() Replacement {
	return Replacement{
		Role: "peer links", ItemDescription: "links to owners and users of organisations",
		Alternatives: []Alternative{
			{Name: "close idle links sooner than reports come", Formula: "limits_links * quiet_seconds / link_idle_seconds * link_end_bytes", Remark: "a handshake for each report instead: limits_messages / 2 a second"},
			{Name: "two levels: links between collectors of one bucket", Formula: "2 * limits_buckets / nodes_per_dc * other_dcs * link_end_bytes", Remark: "comes with the choice above", Chosen: true},
		},
	}
}

func hostListReplacement() Replacement {
	return Replacement{
		Role: "membership", ItemDescription: "the host list, by the delegates, on average",
		Alternatives: []Alternative{
			{Name: "every minute", Formula: "delegates * (nodes + runners) * host_list_bytes / slow_list_seconds / nodes_per_dc", Remark: "a leaving endpoint gets work for a minute: against the brief"},
			{Name: "the own data centre's part only", Formula: "delegates * (nodes + runners) / data_centres * host_list_bytes / list_seconds / nodes_per_dc", Remark: "needs a list that can be asked so; 3 KB/s at its reader"},
			{Name: "only if it has changed (If-None-Match)", Formula: "delegates / list_seconds / nodes_per_dc * (store_call_bytes + list_changed_part * (nodes + runners) * host_list_bytes)", Remark: "needs a list with an entity tag; else the second way", Chosen: true},
		},
	}
}

func renewalsReplacement() Replacement {
	return Replacement{
		Role: "capacity owner", ItemDescription: "renewals and their replies",
		Alternatives: []Alternative{
			{Name: "every 8 s, grants for 24 s", Formula: "(models * renewal_bytes / renew_seconds + renewal_messages * message_overhead) / 2", Remark: "a lost holder's places stay taken twice as long"},
			{Name: "eight owners a data centre", Formula: "models * renewal_bytes / renew_seconds + 2 * few_owners / renew_seconds * message_overhead", Remark: "three times the decisions at an owner"},
			{Name: "asks and releases carry the digest; a renewal only after a silent interval", Formula: "exp(-node_requests / owners_per_dc * renew_seconds) * (models * renewal_bytes / renew_seconds + renewal_messages * message_overhead) + node_requests * digest_bytes", Remark: "no message more in the busy hours, today's in the quiet ones", Chosen: true},
		},
	}
}

func loadReportsReplacement() Replacement {
	return Replacement{
		Role: "capacity owner", ItemDescription: "load reports read from engines, both ways",
		Alternatives: []Alternative{
			{Name: "every 4 s", Formula: "owned_endpoints / report_seconds * engine_report_bytes_base / 2", Remark: "an engine that says it leaves gets work for 4 s more"},
			{Name: "load and cache events in one answer", Formula: "owned_endpoints / report_seconds * engine_report_bytes_base / 2", Remark: "needs engines that offer it; half of the bytes are headers of the second call", Chosen: true},
		},
	}
}

func engineReadsReplacement() Replacement {
	return Replacement{
		Role: "coordinator", ItemDescription: "engines read, a group a model, on average",
		Alternatives: []Alternative{
			{Name: "every 30 s", Formula: "runners / nodes / (2 * slow_quiet_seconds) * engine_report_bytes_base", Remark: "an order that got lost is noticed so late"},
			{Name: "owners tell what their engines have loaded, with the demand; the coordinator reads engines with an order open", Formula: "runners / nodes / coordinator_seconds * engine_models_bytes + open_orders_part * runners / nodes / coordinator_seconds * engine_report_bytes_base / 2", Remark: "an engine is read by one node only, its pool's owner", Chosen: true},
		},
	}
}

func exchangeOpeningsReplacement() Replacement {
	return Replacement{
		Role: "membership", ItemDescription: "links opened for exchanges with random nodes",
		Alternatives: []Alternative{
			{Name: "a delegate keeps its contact while it answers", Formula: "life_changes * link_opening_bytes", Remark: "one node of the other data centre answers more often than the rest", Chosen: true},
			{Name: "links stay open for an hour", Formula: "exchange_openings * link_opening_bytes * exp(exchange_meetings / nodes_per_dc - seconds_per_hour / exchange_seconds / nodes_per_dc)", Remark: "a link to every node of every data centre: 76 a node, 3 MB"},
		},
	}
}

func exchangeLinksReplacement() Replacement {
	return Replacement{
		Role: "peer links", ItemDescription: "links for exchanges with other data centres",
		Alternatives: []Alternative{
			{Name: "a delegate keeps its contact", Formula: "2 * delegates * other_dcs / nodes_per_dc * link_end_bytes", Remark: "comes with the choice above", Chosen: true},
			{Name: "links closed after 10 s", Formula: "2 * delegates * other_dcs * (1 - exp(-short_idle_seconds / exchange_seconds / nodes_per_dc)) * link_end_bytes", Remark: "a handshake for nearly every exchange"},
		},
	}
}

func recordCollectionReplacement() Replacement {
	return Replacement{
		Role: "ledger", ItemDescription: "records collected when a member leaves or is lost, on average",
		Alternatives: []Alternative{
			{Name: "digests first: a member sends a home's records only if their digest differs from the home's", Formula: "collect_messages * message_overhead + table_losses * ledger_loss_bytes * dc_records / nodes_per_dc * 2 / nodes_per_dc", Remark: "the home keeps a digest for each witness; what is sent is the lost member's part", Chosen: true},
			{Name: "only the members next in rendezvous order to the lost one are asked", Formula: "table_losses * 2 * message_overhead + table_losses * ledger_loss_bytes * dc_records / nodes_per_dc * 2 / nodes_per_dc", Remark: "rests on tables having been the same everywhere: the proof of recovery asks all"},
		},
	}
}
