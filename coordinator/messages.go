package coordinator

import "hawthornrill.example/hawthornrill/peer"

// methodDemand reports the demand on the pools of the sender to a candidate.
const methodDemand peer.Method = "coordinator.demand"

// demandMessage is the demand in the data centre of the sender.
type demandMessage struct {
	Demands []demandEntry `cbor:"1,keyasint"`
}

type demandEntry struct {
	Model  string      `cbor:"1,keyasint"`
	Demand ModelDemand `cbor:"2,keyasint"`
}
