package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// pairSeeds is the number of pairs of faults that are always tested, with the seeds 1
// to pairSeeds.
const pairSeeds = 60

// regressionSeeds are further seeds that have failed before, also tested under the
// race detector: with 388, an owner was asked again without a delay.
var regressionSeeds = []uint64{388}

var extraPairs = flag.Int("pairs", 0, "number of additional pairs of faults to test")

// TestFaultPairs injects two faults up to 4 s apart. The faults, their distance and
// the step are drawn with fixed seeds.
func TestFaultPairs(t *testing.T) {
	var all []*fault
	for _, f := range faults() {
		if f.inapplicable == "" {
			all = append(all, f)
		}
	}
	steps := append(requestSteps(), controlSteps()...)
	seeds := slices.Clone(regressionSeeds)
	for i := range uint64(pairSeeds + *extraPairs) {
		if seed := i + 1; (!raceEnabled || i%raceSampling == 0) && !slices.Contains(regressionSeeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 0))
		f, g := all[random.IntN(len(all))], all[random.IntN(len(all))]
		pair := combine(f, g, time.Duration(random.IntN(4000))*time.Millisecond)
		s := steps[random.IntN(len(steps))]
		t.Run(fmt.Sprintf("%d %s", seed, cellName(pair, s)), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { new(cell).run(t, pair, s) })
		})
	}
}
