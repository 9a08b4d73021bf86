package domain

import "fmt"

// NodeID names an entry host's node. It is stable over restarts of the process.
type NodeID string

// DataCentre names a data centre.
type DataCentre string

// EndpointID names a back end: a model runner or an instance of a plain service.
type EndpointID string

// OrganisationID names a customer of the operators.
type OrganisationID string

// PoolName names what a request asks for: a model ("model/quote-1") or a plain
// service ("service/catalogue"). Endpoints with the same pool name are
// interchangeable, though not equally fast.
type PoolName string

// ModelPool returns the pool that serves the given model.
func ModelPool(model string) PoolName { return PoolName("model/" + model) }

// ServicePool returns the pool that serves the given plain service.
func ServicePool(service string) PoolName { return PoolName("service/" + service) }

// Incarnation tells one life of a node's process from the next. A later life of
// the same node has a greater incarnation.
type Incarnation uint64

// Member is one life of a node and where its peers reach it.
type Member struct {
	Node        NodeID      `cbor:"1,keyasint" json:"node"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	DataCentre  DataCentre  `cbor:"3,keyasint" json:"data_centre"`
	// Address is the peer listener, "IP:port".
	Address string `cbor:"4,keyasint" json:"address"`
}

// String returns "node/incarnation".
func (m Member) String() string { return fmt.Sprintf("%s/%d", m.Node, m.Incarnation) }

// SameIncarnation reports whether both are the same life of the same node.
func (m Member) SameIncarnation(o Member) bool {
	return m.Node == o.Node && m.Incarnation == o.Incarnation
}
