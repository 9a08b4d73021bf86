package answer

// Code is a machine-readable reason for an incomplete answer.
type Code string

const (
	// CodeShed: the request was shed in favour of requests of its tier or above.
	CodeShed Code = "shed"
	// CodeDeadline: the request could not be served in time.
	CodeDeadline Code = "deadline"
	// CodeNoEndpoint: no endpoint of the pool is in service.
	CodeNoEndpoint Code = "no_endpoint"
	// CodeQuarantined: the request's content has crashed endpoints before.
	CodeQuarantined Code = "quarantined"
	// CodeLimited: the organisation has reached one of its limits.
	CodeLimited Code = "limited"
	// CodeKeyReused: the key was used before with a different request.
	CodeKeyReused Code = "key_reused"
	// CodeLedgerFull: the key's home holds the maximum number of keys.
	CodeLedgerFull Code = "too_many_keys"
	// CodeHistoryUnknown: no reachable node knows whether the key was run before.
	CodeHistoryUnknown Code = "history_unknown"
	// CodeHolderUnreachable: the node that holds the answer does not respond.
	CodeHolderUnreachable Code = "holder_unreachable"
	// CodeHomeUnreachable: the key's home did not record the request.
	CodeHomeUnreachable Code = "home_unreachable"
	// CodeUnsettled: the attempt ended, but the key's home did not confirm its outcome.
	CodeUnsettled Code = "unsettled"
	// CodeUnreachable: endpoints refused the connection.
	CodeUnreachable Code = "endpoint_unreachable"
	// CodeRefused: the endpoint rejected the request after it had been sent.
	CodeRefused Code = "endpoint_refused"
	// CodeBroken: the endpoint broke off the answer and it could not be resumed.
	CodeBroken Code = "endpoint_broken"
	// CodePreempted: the slot was reclaimed for a request of a higher tier.
	CodePreempted Code = "preempted"
	// CodeOvertaken: another node has taken over the request.
	CodeOvertaken Code = "overtaken"
	// CodeCancelled: the caller cancelled the request.
	CodeCancelled Code = "cancelled"
	// CodeCallerGone: the caller was disconnected for longer than the grace period.
	CodeCallerGone Code = "caller_gone"
	// CodeNotHeld: the answer is no longer held, or no longer from its start.
	CodeNotHeld Code = "answer_not_held"
	// CodeDraining: the node is draining and accepts no new requests.
	CodeDraining Code = "draining"
	// CodeStopped: the node was stopped before the request was finished.
	CodeStopped Code = "stopped"
)
