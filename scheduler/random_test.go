package scheduler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

const (
	randomSeeds    = 40
	randomCallers  = 12
	randomAttempts = 8
	randomFaults   = 60
)

var randomNodes = []domain.NodeID{"a", "b", "c"}

// Callers retry, hang up and come back at any node while links, the keys' home, the
// capacity owner and the engine fail at random. Whatever they are told is true.
func TestPromisesUnderRandomFaults(t *testing.T) {
	told := make(map[string]int)
	for seed := range uint64(randomSeeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			script := schedulertest.Script{
				Tokens: 10, Interval: 300 * time.Millisecond, DuplicateEvents: random.IntN(2) == 0, StaleEvents: random.IntN(2) == 0,
				ForgetOnDisconnect: random.IntN(8) == 0, ResumeErr: endpoint.ErrBroken, ResumeFailures: random.IntN(4),
			}
			for range 15 {
				script.DisconnectAt = append(script.DisconnectAt, random.Uint64N(10))
			}
			b := newBench(script, scheduler.Options{DisconnectGrace: 5 * time.Second})
			defer b.close()
			var callers sync.WaitGroup
			outcomes := make(chan string, randomCallers)
			for i := range randomCallers {
				c := &randomCaller{bench: b, random: rand.New(rand.NewPCG(seed, uint64(i)+2)), request: request(fmt.Sprintf("k%d", i))}
				callers.Go(func() { outcomes <- c.run(t) })
			}
			injectFaults(b, random)
			callers.Wait()
			for range randomCallers {
				told[<-outcomes]++
			}
			time.Sleep(3 * time.Minute)
			synctest.Wait()
			assert.Equal(t, b.capacity.Held(), 0)
			assert.Equal(t, b.limits.held.Load(), int64(0))
			started := b.engine.Started()
			slices.Sort(started)
			assert.Equal(t, len(slices.Compact(slices.Clone(started))), len(started), "dispatched twice: %v", started)
		})
	}
	t.Logf("callers were told last: %v", told)
	assert.Assert(t, told["complete"] > randomSeeds*randomCallers/4, told)
}

// injectFaults breaks something every half second or so, and mends all in the end.
func injectFaults(b *bench, random *rand.Rand) {
	steps := []schedulertest.Operation{schedulertest.OpClaim, schedulertest.OpCommit, schedulertest.OpRelease, schedulertest.OpFinish, schedulertest.OpLookup}
	for range randomFaults {
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		switch random.IntN(6) {
		case 0:
			b.network.Cut(randomNodes[random.IntN(3)], randomNodes[random.IntN(3)])
		case 1:
			b.network.HealAll()
		case 2:
			fault := schedulertest.Fault{Err: ledger.ErrUnknown, ReplyLost: random.IntN(2) == 0, Count: 1 + random.IntN(2), Delay: time.Duration(random.IntN(3)) * time.Second}
			b.home.InjectFault(steps[random.IntN(len(steps))], fault)
		case 3:
			b.capacity.SetError(&capacity.Refusal{Err: capacity.ErrShed})
		case 4:
			b.capacity.SetError(nil)
		case 5:
			b.capacity.Block(random.IntN(3) == 0)
		}
	}
	b.network.HealAll()
	b.capacity.SetError(nil)
	b.capacity.Block(false)
}

// randomCaller asks for one request until it is told something final.
type randomCaller struct {
	bench   *bench
	random  *rand.Rand
	request scheduler.Request
}

func (c *randomCaller) run(t *testing.T) string {
	c.request.Deadline = time.Duration(1+c.random.IntN(10)) * time.Second
	for range randomAttempts {
		time.Sleep(time.Duration(c.random.IntN(4000)) * time.Millisecond)
		end, ended := c.attempt(t)
		if !ended {
			continue
		}
		ran := slices.Contains(c.bench.engine.Started(), c.request.Key.String())
		switch end.Outcome {
		case "":
			return "complete"
		case domain.OutcomeNotRun:
			assert.Check(t, !ran, "told not_run (%s): %s", end.Code, c.request.Key)
		case domain.OutcomeRan:
			return "ran"
		}
	}
	return "gave up"
}

// attempt reads at a random node, and may hang up before the end.
func (c *randomCaller) attempt(t *testing.T) (answer.End, bool) {
	handle := c.bench.nodes[randomNodes[c.random.IntN(3)]].Submit(c.request)
	defer handle.Close()
	patience := time.Minute
	if c.random.IntN(2) == 0 {
		patience = time.Duration(c.random.IntN(3000)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	var text strings.Builder
	var position answer.Position
	for {
		batch, err := handle.Read(ctx, position)
		if err != nil {
			return answer.End{}, false
		}
		for _, chunk := range batch.Chunks {
			text.Write(chunk.Data)
		}
		if batch.End != nil {
			if batch.End.Complete() {
				assert.Check(t, text.String() == whole(c.request.Key, 0, 10), "not its own whole answer: %s", text.String())
			}
			return *batch.End, true
		}
		position = position.Advance(batch)
	}
}
