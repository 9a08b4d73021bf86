package ledger

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Departure is an incarnation that is no longer in the table.
type Departure struct {
	TableMember TableMember `cbor:"1,keyasint" json:"member"`
	// Removed is the first epoch without the incarnation.
	Removed uint64 `cbor:"2,keyasint" json:"removed"`
	// Lost is set if the incarnation's records were lost with it; otherwise the other
	// members held all of them when it was removed.
	Lost bool `cbor:"3,keyasint,omitempty" json:"lost,omitempty"`
	// Age is a lower bound on the time since the removal, as known to the sender of the
	// table. Each receiver adds the time since it received the table, so that Age is
	// short by the time spent in transit and in the store.
	Age time.Duration `cbor:"4,keyasint" json:"age"`
}

// present reports whether the incarnation could hold records in the epoch.
func (d Departure) present(epoch uint64) bool {
	return d.TableMember.Joined <= epoch && epoch < d.Removed
}

// eligible reports whether the incarnation could be home or witness in the epoch.
func (d Departure) eligible(epoch uint64) bool {
	return d.present(epoch) && d.TableMember.eligible(epoch)
}

// departureKey identifies a departure: an incarnation removed by mistake may join again
// and depart a second time.
type departureKey struct {
	member  domain.Member
	removed uint64
}

func (d Departure) key() departureKey { return departureKey{d.TableMember.Member, d.Removed} }
