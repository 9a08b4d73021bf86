package load

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// SpeedOf returns the stand-in's speed for a generation of hardware.
func SpeedOf(generation string) engine.Speed {
	if generation == deployment.GenerationB {
		return engine.GenerationB()
	}
	return engine.GenerationA()
}

// Cost is the engine time that a request takes at least on the faster hardware,
// with a batch that is always full and nothing computed twice.
func Cost(r *Request, batch int) time.Duration {
	speed := engine.GenerationA()
	perToken := (speed.DecodeStep + time.Duration(batch-1)*speed.PerSequence) / time.Duration(batch)
	return time.Duration(r.NewTokens)*speed.Prefill + time.Duration(r.AnswerTokens)*perToken
}

// Capacity is how many engines of the faster hardware a table's engines make up.
func Capacity(table *config.Table) float64 {
	full := engine.GenerationA().DecodeStep
	var sum float64
	for i := range table.Endpoints {
		row := &table.Endpoints[i]
		if row.Kind == config.KindEngine {
			sum += float64(full) / float64(SpeedOf(row.Generation).DecodeStep)
		}
	}
	return sum
}

// referenceBatch is the batch at which capacity is reckoned, whatever the operators'
// limits are, so that a load means the same work under all of them: it is the limit
// that the deployments began with.
const referenceBatch = 16

// fullBatch is the largest batch that a stand-in engine computes.
const fullBatch = 32

// batchOf returns the batch that the limit of the table's engines allows.
func batchOf(table *config.Table) int {
	for i := range table.Endpoints {
		if row := &table.Endpoints[i]; row.Kind == config.KindEngine {
			return min(row.Limit, fullBatch)
		}
	}
	return 1
}
