package scheduler

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// Retry delays reported to callers when no component supplies one.
const (
	shortRetryDelay = 1 * time.Second
	longRetryDelay  = 5 * time.Second
)

var (
	errDeadline = errors.New("scheduler: deadline passed while waiting")
	errCommit   = errors.New("scheduler: commit not acknowledged")
)

// claimEnd translates an error of ledger.Claim.
func claimEnd(request Request, err error) answer.End {
	switch {
	case errors.Is(err, ledger.ErrFingerprintMismatch):
		return notRunEnd(answer.CodeKeyReused, "the key was used before with another request", 0)
	case errors.Is(err, ledger.ErrFull):
		return notRunEnd(answer.CodeLedgerFull, "too many request keys are held", longRetryDelay)
	default:
		return unclaimedEnd(request, answer.CodeHistoryUnknown, "nobody reachable knows whether this key was run before")
	}
}

// limitEnd translates an error of Limiter.Admit. It applies once the claim is
// released.
func limitEnd(err error) answer.End {
	var limit *LimitError
	if errors.As(err, &limit) {
		return notRunEnd(answer.CodeLimited, "the organisation is at its limit: "+limit.Reason, limit.RetryAfter)
	}
	return notRunEnd(answer.CodeLimited, "the organisation's limits can't be checked", shortRetryDelay)
}

// acquireEnd translates an error of capacity.Acquire. It applies once the claim is
// released.
func acquireEnd(err error) answer.End {
	end := causeEnd(err)
	var refusal *capacity.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		end.RetryAfter = refusal.RetryAfter
	}
	return end
}

// causeEnd translates the error that ended a request before it was dispatched.
func causeEnd(err error) answer.End {
	switch {
	case errors.Is(err, errCommit):
		return notRunEnd(answer.CodeHomeUnreachable, "the key's home did not record the request", shortRetryDelay)
	case errors.Is(err, capacity.ErrShed):
		return notRunEnd(answer.CodeShed, "all places are taken by requests of this tier or above", shortRetryDelay)
	case errors.Is(err, capacity.ErrDeadline), errors.Is(err, errDeadline):
		return notRunEnd(answer.CodeDeadline, "the request can't be served in time", shortRetryDelay)
	case errors.Is(err, capacity.ErrNoEndpoint):
		return notRunEnd(answer.CodeNoEndpoint, "no endpoint is in service", longRetryDelay)
	case errors.Is(err, capacity.ErrQuarantined):
		return notRunEnd(answer.CodeQuarantined, "requests with this content have crashed endpoints", 0)
	case errors.Is(err, dispatch.ErrPreempted):
		return notRunEnd(answer.CodePreempted, "the place was taken back for a higher tier", shortRetryDelay)
	case errors.Is(err, dispatch.ErrCancelled):
		return notRunEnd(answer.CodeCancelled, "cancelled by its caller", 0)
	case errors.Is(err, dispatch.ErrCallerGone):
		return notRunEnd(answer.CodeCallerGone, "the caller was gone", 0)
	case errors.Is(err, dispatch.ErrStopped), errors.Is(err, context.Canceled):
		return notRunEnd(answer.CodeStopped, "the node stopped", shortRetryDelay)
	default:
		return notRunEnd(answer.CodeUnreachable, "no endpoint could be reached", shortRetryDelay)
	}
}

func notRunEnd(code answer.Code, reason string, retry time.Duration) answer.End {
	return answer.End{Outcome: domain.OutcomeNotRun, Code: code, Reason: reason, RetryAfter: retry}
}

func unknownEnd(code answer.Code, reason string, retry time.Duration) answer.End {
	return answer.End{Outcome: domain.OutcomeUnknown, Code: code, Reason: reason, RetryAfter: retry}
}

func ranEnd(code answer.Code, reason string) answer.End {
	return answer.End{Outcome: domain.OutcomeRan, Code: code, Reason: reason}
}
