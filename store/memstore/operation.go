package memstore

// Operation names a call of store.Store.
type Operation uint8

// The operations of store.Store.
const (
	OperationGet Operation = iota
	OperationList
	OperationCompareAndSwap
	OperationDelete
	OperationWatch
	OperationGrantLease
	OperationKeepAlive
	OperationRevokeLease
	operations
)

// IsWrite reports whether the operation changes the store and counts against
// the bound on writes.
func (o Operation) IsWrite() bool {
	switch o {
	case OperationGet, OperationList, OperationWatch:
		return false
	default:
		return true
	}
}

// Call describes one call to a FaultFunc.
type Call struct {
	Operation Operation
	// Key is the key or the prefix; empty for leases.
	Key string
	// Number counts the calls through this client from 1.
	Number uint64
}
