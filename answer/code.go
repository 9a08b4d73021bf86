package answer

// Code names why there is no complete answer, for programs.
type Code string

const (
	// CodeShed: the request lost its place to others of its tier or above.
	CodeShed Code = "shed"
	// CodeDeadline: the request could not be served in time.
	CodeDeadline Code = "deadline"
	// CodeNoEndpoint: no endpoint of the pool is in service.
	CodeNoEndpoint Code = "no_endpoint"
	// CodeQuarantined: the request has crashed endpoints before.
	CodeQuarantined Code = "quarantined"
	// CodeLimited: the organisation is at one of its limits.
	CodeLimited Code = "limited"
	// CodeKeyReused: the key was used before with another request.
	CodeKeyReused Code = "key_reused"
	// CodeLedgerFull: the key's home holds as many keys as it may.
	CodeLedgerFull Code = "too_many_keys"
	// CodeHistoryUnknown: nobody reachable knows whether the key ran before.
	CodeHistoryUnknown Code = "history_unknown"
	// CodeHolderUnreachable: the node that holds the answer does not reply.
	CodeHolderUnreachable Code = "holder_unreachable"
	// CodeHomeUnreachable: the key's home did not record the request.
	CodeHomeUnreachable Code = "home_unreachable"
	// CodeUnsettled: the attempt ended, but the key's home did not confirm it.
	CodeUnsettled Code = "unsettled"
	// CodeUnreachable: endpoints refused the connection.
	CodeUnreachable Code = "endpoint_unreachable"
	// CodeRefused: the endpoint refused the request after it had been sent.
	CodeRefused Code = "endpoint_refused"
	// CodeBroken: the endpoint broke off and could not be resumed.
	CodeBroken Code = "endpoint_broken"
	// CodePreempted: the place was taken back for a higher tier.
	CodePreempted Code = "preempted"
	// CodeOvertaken: another node has taken the request over.
	CodeOvertaken Code = "overtaken"
	// CodeCancelled: the caller cancelled the request.
	CodeCancelled Code = "cancelled"
	// CodeCallerGone: the caller was away for longer than the grace time.
	CodeCallerGone Code = "caller_gone"
	// CodeNotHeld: the answer is no longer held, or no longer as a whole.
	CodeNotHeld Code = "answer_not_held"
	// CodeDraining: the node is leaving and takes nothing new.
	CodeDraining Code = "draining"
	// CodeStopped: the node was stopped before the request was finished.
	CodeStopped Code = "stopped"
)
