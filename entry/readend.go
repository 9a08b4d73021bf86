package entry

import (
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
)

// endFromReadError converts an error from reading an answer into an answer.End.
func endFromReadError(err error) answer.End {
	if errors.Is(err, answer.ErrTruncated) || errors.Is(err, answer.ErrNotHeld) {
		return answer.End{
			Outcome: domain.OutcomeRan,
			Code:    answer.CodeNotHeld,
			Reason:  "the request was run and its answer is no longer held from the start",
		}
	}
	return answer.End{
		Outcome:    domain.OutcomeUnknown,
		Code:       answer.CodeHolderUnreachable,
		Reason:     "the answer can't be read",
		RetryAfter: time.Second,
	}
}
