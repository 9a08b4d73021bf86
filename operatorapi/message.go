package operatorapi

import (
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
)

// PathPrefix is where the routes begin.
const PathPrefix = "/operator/v1"

// TableReply is a table with the version it has.
type TableReply struct {
	Version document.Version `json:"version"`
	Table   config.Table     `json:"table"`
}

// EditRequest asks for changes of rows. Base is the generation that the operator
// looked at when making them.
type EditRequest struct {
	ID      document.EditID `json:"id"`
	Note    string          `json:"note"`
	Base    uint64          `json:"base"`
	Changes []config.Change `json:"changes"`
}

// RollbackRequest asks for the table of an earlier generation, as long as the
// current one is the expected one.
type RollbackRequest struct {
	ID         document.EditID `json:"id"`
	Note       string          `json:"note"`
	Generation uint64          `json:"generation"`
	Expected   uint64          `json:"expected"`
}

// EditReply is the accepted version.
type EditReply struct {
	Version document.Version `json:"version"`
}

// PreviewRequest asks what changes would do, without making them.
type PreviewRequest struct {
	Changes []config.Change `json:"changes"`
}

// PreviewReply tells what changes would do. With problems or conflicts they would
// not be accepted.
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

// HistoryReply lists the versions that can still be read, the current one first.
type HistoryReply struct {
	Versions []document.Version `json:"versions"`
}

// StatusReply tells what is in force where.
type StatusReply struct {
	// Nodes are all of the membership, by data centre and name.
	Nodes []NodeReport `json:"nodes"`
	// Latest is the highest generation of the table that any reachable node holds.
	Latest uint64 `json:"latest"`
	// InForce is on how many nodes Latest is in force, of Reachable.
	InForce   int `json:"in_force"`
	Reachable int `json:"reachable"`
}

// NodeReport is the state of one node.
type NodeReport struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// Unreachable says why the node did not answer; empty if it did.
	Unreachable   string  `json:"unreachable,omitempty"`
	UptimeSeconds float64 `json:"uptime_seconds"`
	// Table is the condition of the operators' table.
	Table *DocumentStatus `json:"table,omitempty"`
	// Documents are the conditions of the node's other documents.
	Documents []DocumentStatus `json:"documents,omitempty"`
}

// DocumentStatus is how a document stands on a node.
type DocumentStatus struct {
	Name         string  `json:"name"`
	Held         uint64  `json:"held"`
	InForce      uint64  `json:"in_force"`
	SinceSeconds float64 `json:"since_seconds"`
	// Error says why Held could not be applied.
	Error       string `json:"error,omitempty"`
	Watching    bool   `json:"watching,omitempty"`
	StoreBehind bool   `json:"store_behind,omitempty"`
	StoreError  string `json:"store_error,omitempty"`
	Displaced   uint64 `json:"displaced,omitempty"`
}

// Outcome is what became of an edit that failed.
type Outcome string

const (
	// OutcomeNotAccepted is certain: the edit has had no effect and will have none.
	OutcomeNotAccepted Outcome = "not_accepted"
	// OutcomeUnknown means that the edit may have been accepted.
	OutcomeUnknown Outcome = "unknown"
)

// Failure is a problem document.
type Failure struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Problems and Conflicts say why an edit was not accepted.
	Problems  config.Problems  `json:"problems,omitempty"`
	Conflicts config.Conflicts `json:"conflicts,omitempty"`
}

// Error returns the title and the detail.
func (f *Failure) Error() string { return f.Title + ": " + f.Detail }
