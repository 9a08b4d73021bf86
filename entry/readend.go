package entry

import (
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
)

// readEnd translates an error of reading an answer into an end.
func readEnd(err error) answer.End {
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
