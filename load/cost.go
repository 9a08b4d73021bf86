package load

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// SpeedOf returns the speed of the stand-in engine for a hardware generation.
func SpeedOf(generation string) engine.Speed {
	if generation == deployment.GenerationB {
		return engine.GenerationB()
	}
	return engine.GenerationA()
}

// Cost returns the least engine time that a request takes on the faster hardware
// generation, assuming that batches are always full and nothing is computed twice.
func Cost(r *Request, batch int) time.Duration {
	speed := engine.GenerationA()
	perToken := (speed.DecodeStep + time.Duration(batch-1)*speed.PerSequence) / time.Duration(batch)
	return time.Duration(r.NewTokens)*speed.Prefill + time.Duration(r.AnswerTokens)*perToken
}

// Capacity returns the total capacity of the table's engines, in engines of the faster
// hardware generation.
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

// referenceBatch is the batch size at which capacity is computed, independent of the
// configured limits, so that a load stands for the same work under all of them. It is
// the initial limit of the deployments.
const referenceBatch = 16

// maxEngineBatch is the largest batch size of a stand-in engine.
const maxEngineBatch = 32

// batchSize returns the batch size that the request limit of the table's engines allows.
func batchSize(table *config.Table) int {
	for i := range table.Endpoints {
		if row := &table.Endpoints[i]; row.Kind == config.KindEngine {
			return min(row.Limit, maxEngineBatch)
		}
	}
	return 1
}
