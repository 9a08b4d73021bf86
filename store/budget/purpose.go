package budget

import "context"

// Purpose tells what a call is for; it labels metrics and counts.
type Purpose string

const (
	// PurposeOther is the purpose of calls without one.
	PurposeOther Purpose = "other"
	// PurposeWatch is following a document.
	PurposeWatch Purpose = "watch"
	// PurposeEdit is an operator's or a node's edit of a document. Edits are rare
	// and somebody waits for them: they are tried at once even in an outage.
	PurposeEdit Purpose = "edit"
	// PurposeRepair is writing back what the store has lost.
	PurposeRepair Purpose = "repair"
	// PurposeGarbageCollection is removing what nothing refers to.
	PurposeGarbageCollection Purpose = "collect"
	// PurposeLease is holding a lease.
	PurposeLease Purpose = "lease"
)

// urgent calls are not held back by the backoff after an error.
func (p Purpose) urgent() bool { return p == PurposeEdit || p == PurposeLease }

type purposeKey struct{}

// WithPurpose marks the calls made under the context.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

func purposeOf(ctx context.Context) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return PurposeOther
}
