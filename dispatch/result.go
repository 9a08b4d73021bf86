package dispatch

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Result describes the outcome of a run.
type Result struct {
	// NotSent is set if not a single byte was sent, and holds the reason. The request was not
	// dispatched, and the permit can't be used again.
	NotSent error
	// End describes how the answer ended. It has no meaning if NotSent is set.
	End answer.End
	// Usage is reported to the capacity owner.
	Usage capacity.Result
}

func notSent(err error, unreachable bool) Result {
	return Result{NotSent: err, Usage: capacity.Result{Unreachable: unreachable}}
}

// endOf converts the error that ended a run before its answer was complete. As data was sent, the
// outcome is ran, unless the run continues at another node.
func endOf(err error) answer.End {
	if errors.Is(err, ErrOvertaken) {
		// The answer continues at another node, where a retry finds it.
		return answer.End{Outcome: domain.OutcomeUnknown, Reason: "another node has taken the request over", Code: answer.CodeOvertaken, RetryAfter: time.Second}
	}
	return answer.End{Outcome: domain.OutcomeRan, Reason: reason(err), Code: codeOf(err)}
}

func codeOf(err error) answer.Code {
	switch {
	case errors.Is(err, ErrPreempted):
		return answer.CodePreempted
	case errors.Is(err, ErrCancelled):
		return answer.CodeCancelled
	case errors.Is(err, ErrCallerGone):
		return answer.CodeCallerGone
	case errors.Is(err, ErrStopped):
		return answer.CodeStopped
	case errors.Is(err, ErrRunTimeout):
		return answer.CodeDeadline
	case errors.Is(err, errRefused):
		return answer.CodeRefused
	default:
		return answer.CodeBroken
	}
}

// reason returns the explanation for the caller. The text of endpoint errors is not passed on, as
// it may contain addresses.
func reason(err error) string {
	switch codeOf(err) {
	case answer.CodePreempted:
		return "the request was dispatched and then cancelled in favour of a higher tier"
	case answer.CodeCancelled:
		return "the request was dispatched and then cancelled by its caller"
	case answer.CodeCallerGone:
		return "the request was dispatched and then cancelled, as its caller was gone"
	case answer.CodeStopped:
		return "the request was dispatched and the node stopped before it was finished"
	case answer.CodeDeadline:
		return "the request was dispatched and cancelled, as it ran longer than any may"
	case answer.CodeRefused:
		return "the request was dispatched and the endpoint refused it"
	default:
		return "the request was dispatched and the endpoint broke off"
	}
}

// cancelCause returns the cause of cancellation if the run's context has ended, or nil.
func cancelCause(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return context.Cause(ctx)
}
