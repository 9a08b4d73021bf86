package domain

import "fmt"

// NodeID identifies a node, one on each entry host. It is stable over restarts of
// the process.
type NodeID string

type DataCentre string

// EndpointID identifies a back end: a model engine or an instance of a plain
// service.
type EndpointID string

// OrganisationID identifies a customer of the operators.
type OrganisationID string

// PoolName identifies the pool that a request needs: a model ("model/quote-1") or a
// plain service ("service/catalogue"). Endpoints of one pool are interchangeable,
// though not equally fast.
type PoolName string

func ModelPool(model string) PoolName { return PoolName("model/" + model) }

func ServicePool(service string) PoolName { return PoolName("service/" + service) }

// Incarnation distinguishes the processes of a node over its restarts. A later
// process of the same node has a greater incarnation.
type Incarnation uint64

// Member is one incarnation of a node and the address at which its peers reach it.
type Member struct {
	Node        NodeID      `cbor:"1,keyasint" json:"node"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	DataCentre  DataCentre  `cbor:"3,keyasint" json:"data_centre"`
	// Address is that of the peer listener, "IP:port".
	Address string `cbor:"4,keyasint" json:"address"`
}

// String returns "node/incarnation".
func (m Member) String() string { return fmt.Sprintf("%s/%d", m.Node, m.Incarnation) }

// SameIncarnation reports whether both are the same incarnation of the same node,
// whatever their addresses.
func (m Member) SameIncarnation(o Member) bool {
	return m.Node == o.Node && m.Incarnation == o.Incarnation
}
