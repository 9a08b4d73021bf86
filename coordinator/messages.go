package coordinator

import "hawthornrill.example/hawthornrill/peer"

// methodDemand tells a candidate what the pools need that the sender owns.
const methodDemand peer.Method = "coordinator.demand"

// demandMessage is about the sender's data centre.
type demandMessage struct {
	Demands []modelLoad `cbor:"1,keyasint"`
}

type modelLoad struct {
	Model  string      `cbor:"1,keyasint"`
	Demand ModelDemand `cbor:"2,keyasint"`
}
