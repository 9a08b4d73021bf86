package entry_test

import (
	"strconv"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

const finished = ledger.StateFinished

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func domainNode(name string) domain.NodeID { return domain.NodeID(name) }
