package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// pairSeeds is the number of pairs of faults that are always tried; their seeds
// are 1 to pairSeeds.
const pairSeeds = 60

var morePairs = flag.Int("pairs", 0, "try so many pairs of faults in addition")

// TestFaultPairs has two faults happen together, drawn by fixed seeds.
func TestFaultPairs(t *testing.T) {
	var all []*fault
	for _, f := range faults() {
		if f.never == "" {
			all = append(all, f)
		}
	}
	steps := append(requestSteps(), controlSteps()...)
	for seed := range uint64(pairSeeds + *morePairs) {
		if raceEnabled && seed%raceShare != 0 {
			continue
		}
		random := rand.New(rand.NewPCG(seed+1, 0))
		f, g := all[random.IntN(len(all))], all[random.IntN(len(all))]
		pair := both(f, g, time.Duration(random.IntN(4000))*time.Millisecond)
		s := steps[random.IntN(len(steps))]
		t.Run(fmt.Sprintf("%d %s", seed+1, cellName(pair, s)), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { new(cell).run(t, pair, s) })
		})
	}
}
