package budget

import "context"

// Purpose is what a call is made for; it labels metrics and counts.
type Purpose string

const (
	// PurposeOther is the purpose of calls that have none set.
	PurposeOther Purpose = "other"
	// PurposeWatch is watching a key, such as a document's.
	PurposeWatch Purpose = "watch"
	// PurposeEdit is an operator's or a node's edit of a document. Edits are rare and
	// have somebody waiting for them, so they are sent at once even in an outage.
	PurposeEdit Purpose = "edit"
	// PurposeRepair is restoring data that the store has lost.
	PurposeRepair Purpose = "repair"
	// PurposeGarbageCollection is removing data that nothing refers to.
	PurposeGarbageCollection Purpose = "collect"
	// PurposeLease is acquiring, renewing and releasing leases.
	PurposeLease Purpose = "lease"
)

// urgent reports whether calls for this purpose skip the backoff after an error.
func (p Purpose) urgent() bool { return p == PurposeEdit || p == PurposeLease }

type purposeKey struct{}

// WithPurpose sets the purpose of the calls made under the context.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

func purposeOf(ctx context.Context) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return PurposeOther
}
