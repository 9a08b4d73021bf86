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

// Callers retry, disconnect and reconnect at any node while links, the keys' home,
// the capacity owner and the engine fail at random. Every reported outcome must match
// what the engine ran, and no request may be dispatched twice.
func TestOutcomesUnderRandomFaults(t *testing.T) {
	outcomesSeen := make(map[string]int)
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
			b := newCluster(script, scheduler.Options{DisconnectGrace: 5 * time.Second})
			defer b.close()
			var callers sync.WaitGroup
			outcomes := make(chan string, randomCallers)
			for i := range randomCallers {
				c := &randomCaller{cluster: b, random: rand.New(rand.NewPCG(seed, uint64(i)+2)), request: request(fmt.Sprintf("k%d", i))}
				callers.Go(func() { outcomes <- c.run(t) })
			}
			injectFaults(b, random)
			callers.Wait()
			for range randomCallers {
				outcomesSeen[<-outcomes]++
			}
			time.Sleep(3 * time.Minute)
			synctest.Wait()
			assert.Equal(t, b.capacity.Held(), 0)
			assert.Equal(t, b.limiter.held.Load(), int64(0))
			started := b.engine.Started()
			slices.Sort(started)
			assert.Equal(t, len(slices.Compact(slices.Clone(started))), len(started), "dispatched twice: %v", started)
		})
	}
	t.Logf("final outcomes: %v", outcomesSeen)
	assert.Assert(t, outcomesSeen["complete"] > randomSeeds*randomCallers/4, outcomesSeen)
}

// injectFaults injects a random fault about every half second and clears all faults
// at the end.
func injectFaults(b *cluster, random *rand.Rand) {
	operations := []schedulertest.Operation{schedulertest.OpClaim, schedulertest.OpCommit, schedulertest.OpRelease, schedulertest.OpFinish, schedulertest.OpLookup}
	for range randomFaults {
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		switch random.IntN(6) {
		case 0:
			b.network.Cut(randomNodes[random.IntN(3)], randomNodes[random.IntN(3)])
		case 1:
			b.network.HealAll()
		case 2:
			fault := schedulertest.Fault{Err: ledger.ErrUnknown, ReplyLost: random.IntN(2) == 0, Count: 1 + random.IntN(2), Delay: time.Duration(random.IntN(3)) * time.Second}
			b.home.InjectFault(operations[random.IntN(len(operations))], fault)
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

// randomCaller retries one request until it receives a final outcome.
type randomCaller struct {
	cluster *cluster
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
		ran := slices.Contains(c.cluster.engine.Started(), c.request.Key.String())
		switch end.Outcome {
		case "":
			return "complete"
		case domain.OutcomeNotRun:
			assert.Check(t, !ran, "reported not_run (%s) for a request that ran: %s", end.Code, c.request.Key)
		case domain.OutcomeRan:
			return "ran"
		}
	}
	return "attempts exhausted"
}

// attempt reads at a random node and may disconnect before the end.
func (c *randomCaller) attempt(t *testing.T) (answer.End, bool) {
	handle := c.cluster.nodes[randomNodes[c.random.IntN(3)]].Submit(c.request)
	defer handle.Close()
	timeout := time.Minute
	if c.random.IntN(2) == 0 {
		timeout = time.Duration(c.random.IntN(3000)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
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
				assert.Check(t, text.String() == expectedText(c.request.Key, 0, 10), "answer incomplete or of another request: %s", text.String())
			}
			return *batch.End, true
		}
		position = position.Advance(batch)
	}
}
