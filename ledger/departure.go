package ledger

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Departure is a life that is no longer in the table.
type Departure struct {
	TableMember TableMember `cbor:"1,keyasint" json:"member"`
	// Removed is the first epoch without the life.
	Removed uint64 `cbor:"2,keyasint" json:"removed"`
	// Lost tells that the life's memory went with it; otherwise the others held
	// every record of it when it went.
	Lost bool `cbor:"3,keyasint,omitempty" json:"lost,omitempty"`
	// Age is the time since the removal, as far as the sender of the table knew. It
	// is never more than the truth: each receiver counts on from when it received
	// it, so that it errs by the time on the way and in the store.
	Age time.Duration `cbor:"4,keyasint" json:"age"`
}

// present reports whether the life could hold records in the epoch.
func (d Departure) present(epoch uint64) bool {
	return d.TableMember.Joined <= epoch && epoch < d.Removed
}

// eligible reports whether the life was home or witness in the epoch.
func (d Departure) eligible(epoch uint64) bool {
	return d.present(epoch) && d.TableMember.eligible(epoch)
}

// departureKey names a departure: a life taken out by mistake may join again and
// depart a second time.
type departureKey struct {
	member  domain.Member
	removed uint64
}

func (d Departure) key() departureKey { return departureKey{d.TableMember.Member, d.Removed} }
