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

// Advice given to callers when no part knows better.
const (
	retrySoon  = 1 * time.Second
	retryLater = 5 * time.Second
)

var (
	errDeadline = errors.New("scheduler: deadline passed while waiting")
	errCommit   = errors.New("scheduler: commit not acknowledged")
)

// claimEnd translates an error of ledger.Claim.
func claimEnd(request Request, err error) answer.End {
	switch {
	case errors.Is(err, ledger.ErrFingerprintMismatch):
		return notRun(answer.CodeKeyReused, "the key was used before with another request", 0)
	case errors.Is(err, ledger.ErrFull):
		return notRun(answer.CodeLedgerFull, "too many request keys are held", retryLater)
	default:
		return untried(request, answer.CodeHistoryUnknown, "nobody reachable knows whether this key was run before")
	}
}

// limitEnd translates an error of Limits.Admit. It holds once the claim is released.
func limitEnd(err error) answer.End {
	var limit *LimitError
	if errors.As(err, &limit) {
		return notRun(answer.CodeLimited, "the organisation is at its limit: "+limit.Reason, limit.RetryAfter)
	}
	return notRun(answer.CodeLimited, "the organisation's limits can't be checked", retrySoon)
}

// acquireEnd translates an error of capacity.Acquire. It holds once the claim is
// released.
func acquireEnd(err error) answer.End {
	end := causeEnd(err)
	var refusal *capacity.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		end.RetryAfter = refusal.RetryAfter
	}
	return end
}

// causeEnd translates what ended a request before it was dispatched.
func causeEnd(err error) answer.End {
	switch {
	case errors.Is(err, errCommit):
		return notRun(answer.CodeHomeUnreachable, "the key's home did not record the request", retrySoon)
	case errors.Is(err, capacity.ErrShed):
		return notRun(answer.CodeShed, "all places are taken by requests of this tier or above", retrySoon)
	case errors.Is(err, capacity.ErrDeadline), errors.Is(err, errDeadline):
		return notRun(answer.CodeDeadline, "the request can't be served in time", retrySoon)
	case errors.Is(err, capacity.ErrNoEndpoint):
		return notRun(answer.CodeNoEndpoint, "no endpoint is in service", retryLater)
	case errors.Is(err, capacity.ErrQuarantined):
		return notRun(answer.CodeQuarantined, "requests with this content have crashed endpoints", 0)
	case errors.Is(err, dispatch.ErrPreempted):
		return notRun(answer.CodePreempted, "the place was taken back for a higher tier", retrySoon)
	case errors.Is(err, dispatch.ErrCancelled):
		return notRun(answer.CodeCancelled, "cancelled by its caller", 0)
	case errors.Is(err, dispatch.ErrCallerGone):
		return notRun(answer.CodeCallerGone, "the caller was gone", 0)
	case errors.Is(err, dispatch.ErrStopped), errors.Is(err, context.Canceled):
		return notRun(answer.CodeStopped, "the node stopped", retrySoon)
	default:
		return notRun(answer.CodeUnreachable, "no endpoint could be reached", retrySoon)
	}
}

func notRun(code answer.Code, reason string, retry time.Duration) answer.End {
	return answer.End{Outcome: domain.OutcomeNotRun, Code: code, Reason: reason, RetryAfter: retry}
}

func unknown(code answer.Code, reason string, retry time.Duration) answer.End {
	return answer.End{Outcome: domain.OutcomeUnknown, Code: code, Reason: reason, RetryAfter: retry}
}

func ran(code answer.Code, reason string) answer.End {
	return answer.End{Outcome: domain.OutcomeRan, Code: code, Reason: reason}
}
