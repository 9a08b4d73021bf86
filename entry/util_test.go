package entry_test

import (
	"strconv"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

const stateFinished = ledger.StateFinished

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func nodeID(name string) domain.NodeID { return domain.NodeID(name) }
