package operatorapi

import (
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
)

// PathPrefix is the common path prefix of the API routes.
const PathPrefix = "/operator/v1"

// TableReply is a table with its version.
type TableReply struct {
	Version document.Version `json:"version"`
	Table   config.Table     `json:"table"`
}

// EditRequest requests changes of rows. Each change states the row that it was made
// from, so that one made from an older table conflicts with what was changed since.
type EditRequest struct {
	ID      document.EditID `json:"id"`
	Note    string          `json:"note"`
	Changes []config.Change `json:"changes"`
}

// RollbackRequest requests the restoration of the table of an earlier generation. It fails
// unless Expected is the current generation.
type RollbackRequest struct {
	ID         document.EditID `json:"id"`
	Note       string          `json:"note"`
	Generation uint64          `json:"generation"`
	Expected   uint64          `json:"expected"`
}

// EditReply holds the accepted version.
type EditReply struct {
	Version document.Version `json:"version"`
}

// PreviewRequest requests the effect of changes without making them.
type PreviewRequest struct {
	Changes []config.Change `json:"changes"`
}

// PreviewReply describes the effect of changes. Changes with problems or conflicts
// would not be accepted.
type PreviewReply struct {
	Version   document.Version     `json:"version"`
	Cells     []CellEffect         `json:"cells"`
	Effects   []config.ShareEffect `json:"effects"`
	Problems  config.Problems      `json:"problems,omitempty"`
	Conflicts config.Conflicts     `json:"conflicts,omitempty"`
}

// CellEffect is one cell that would change.
type CellEffect struct {
	Kind config.Kind `json:"kind"`
	Key  string      `json:"key"`
	config.CellChange
}

// HistoryReply lists the versions that are still readable, the current one first.
type HistoryReply struct {
	Versions []document.Version `json:"versions"`
}

// StatusReply is the roll-out state of the table and the state of all nodes.
type StatusReply struct {
	// Nodes are all members, sorted by data centre and name.
	Nodes []NodeReport `json:"nodes"`
	// Latest is the highest generation of the table that any reachable node holds.
	Latest uint64 `json:"latest"`
	// InForce is the number of nodes on which Latest is in force, out of Reachable.
	InForce   int `json:"in_force"`
	Reachable int `json:"reachable"`
}

// NodeReport is the state of one node.
type NodeReport struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// Unreachable is the reason why the node did not respond; empty if it did.
	Unreachable   string  `json:"unreachable,omitempty"`
	UptimeSeconds float64 `json:"uptime_seconds"`
	// Table is the status of the configuration table.
	Table *DocumentStatus `json:"table,omitempty"`
	// Documents is the status of the node's other documents.
	Documents []DocumentStatus `json:"documents,omitempty"`
}

// DocumentStatus is the state of a document on a node.
type DocumentStatus struct {
	Name         string  `json:"name"`
	Held         uint64  `json:"held"`
	InForce      uint64  `json:"in_force"`
	SinceSeconds float64 `json:"since_seconds"`
	// Error is the reason why Held could not be applied.
	Error       string `json:"error,omitempty"`
	Watching    bool   `json:"watching,omitempty"`
	StoreBehind bool   `json:"store_behind,omitempty"`
	StoreError  string `json:"store_error,omitempty"`
	Displaced   uint64 `json:"displaced,omitempty"`
}

// Outcome says whether an edit that returned an error may have been accepted.
type Outcome string

const (
	// OutcomeNotAccepted means that the edit certainly had no effect and will have
	// none.
	OutcomeNotAccepted Outcome = "not_accepted"
	// OutcomeUnknown means that the edit may have been accepted.
	OutcomeUnknown Outcome = "unknown"
)

// Failure is a problem document (RFC 9457).
type Failure struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Problems and Conflicts are the reasons why an edit was not accepted.
	Problems  config.Problems  `json:"problems,omitempty"`
	Conflicts config.Conflicts `json:"conflicts,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return f.Title + ": " + f.Detail }
