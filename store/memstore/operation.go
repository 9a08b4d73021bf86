package memstore

// Operation identifies a method of store.Store.
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
	operationCount
)

// IsWrite reports whether the operation changes the store and counts towards the
// write rate limit.
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
	// Key is the key or, for a list, the prefix; empty for lease operations.
	Key string
	// Number is the call's number, from 1, within the Client or Store whose Faults
	// hold the function.
	Number uint64
}
