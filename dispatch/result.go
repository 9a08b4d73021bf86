package dispatch

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Result tells how a run went.
type Result struct {
	// NotSent is set if not one byte was sent, and says why. The request was not
	// dispatched, and the permit can't be used again.
	NotSent error
	// End is how the answer ended. It has no meaning when NotSent is set.
	End answer.End
	// Use is for the capacity owner.
	Usage capacity.Result
}

func notSent(err error, unreachable bool) Result {
	return Result{NotSent: err, Usage: capacity.Result{Unreachable: unreachable}}
}

// endOf translates what ended a run before its answer was complete. Something
// was sent: the outcome is ran, unless the run goes on at another node.
func endOf(err error) answer.End {
	if errors.Is(err, ErrOvertaken) {
		// The answer goes on elsewhere: a retry finds it there.
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

// reason is the text for the caller. Errors of endpoints may contain addresses
// and stay inside.
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

// cancelled returns the cause if the run's context has ended.
func cancelled(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return context.Cause(ctx)
}
