package capacity

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The model behind docs/design/capacity.md compares where requests are queued, and how
// that affects the highest tier. 12 endpoints of 8 slots, half of them twice as slow;
// service times of 0.1 to 10 s, log-uniform; 20, 30 and 50 % of the requests in three
// tiers; 1.2 times the capacity is offered for 300 s.
const (
	modelEndpoints = 12
	modelPlaces    = 8
	modelSeconds   = 300.0
	modelOffered   = 1.2
)

type modelRequest struct {
	tier    int
	arrived float64
	service float64
}

// modelEvent is the end of a service at an endpoint; endpoint -1 is an arrival.
type modelEvent struct {
	at       float64
	endpoint int
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelDesign selects the queue that a request joins, and the queues from which a free
// slot of an endpoint is served.
type modelDesign struct {
	queues int
	join   func(random *rand.Rand, m *modelRun) int
	serve  func(random *rand.Rand, endpoint int) []int
}

type modelRun struct {
	queues   [][]modelRequest
	free     []int
	events   modelEvents
	waits    []float64
	started  int
	inverted int
}

// takeHighest removes the request of the highest tier from the queues.
func (m *modelRun) takeHighest(from []int) (modelRequest, bool) {
	best := -1
	for _, q := range from {
		if len(m.queues[q]) > 0 && (best < 0 || m.queues[q][0].tier < m.queues[best][0].tier) {
			best = q
		}
	}
	if best < 0 {
		return modelRequest{}, false
	}
	request := m.queues[best][0]
	m.queues[best] = m.queues[best][1:]
	return request, true
}

// start starts services while the endpoint has free slots and requests.
func (m *modelRun) start(now float64, endpoint int, from []int) {
	for m.free[endpoint] > 0 {
		request, ok := m.takeHighest(from)
		if !ok {
			return
		}
		m.free[endpoint]--
		m.started++
		if slices.ContainsFunc(m.queues, func(q []modelRequest) bool { return len(q) > 0 && q[0].tier < request.tier }) {
			m.inverted++
		}
		if request.tier == 0 {
			m.waits = append(m.waits, now-request.arrived)
		}
		heap.Push(&m.events, modelEvent{now + request.service*float64(1+endpoint%2), endpoint})
	}
}

func (m *modelRun) enqueue(q int, request modelRequest) {
	at, _ := slices.BinarySearchFunc(m.queues[q], request.tier+1, func(a modelRequest, tier int) int { return a.tier - tier })
	m.queues[q] = slices.Insert(m.queues[q], at, request)
}

func (d modelDesign) run(seed uint64) *modelRun {
	random := rand.New(rand.NewPCG(seed, 1))
	m := &modelRun{queues: make([][]modelRequest, d.queues), free: slices.Repeat([]int{modelPlaces}, modelEndpoints)}
	mean := 9.9 / math.Log(100)
	rate := modelOffered * modelPlaces * modelEndpoints * 0.75 / mean
	heap.Push(&m.events, modelEvent{0, -1})
	for len(m.events) > 0 && m.events[0].at < modelSeconds {
		event := heap.Pop(&m.events).(modelEvent)
		if event.endpoint >= 0 {
			m.free[event.endpoint]++
			m.start(event.at, event.endpoint, d.serve(random, event.endpoint))
			continue
		}
		tier := []int{0, 0, 1, 1, 1, 2, 2, 2, 2, 2}[random.IntN(10)]
		m.enqueue(d.join(random, m), modelRequest{tier, event.at, 0.1 * math.Pow(100, random.Float64())})
		for endpoint := range modelEndpoints {
			m.start(event.at, endpoint, d.serve(random, endpoint))
		}
		heap.Push(&m.events, modelEvent{event.at + random.ExpFloat64()/rate, -1})
	}
	return m
}

// leastLoadedOf returns the least loaded of d random endpoints.
func leastLoadedOf(d int) func(*rand.Rand, *modelRun) int {
	return func(random *rand.Rand, m *modelRun) int {
		best := -1
		for _, e := range random.Perm(modelEndpoints)[:d] {
			if best < 0 || len(m.queues[e])-m.free[e] < len(m.queues[best])-m.free[best] {
				best = e
			}
		}
		return best
	}
}

func ownEndpoint(_ *rand.Rand, endpoint int) []int { return []int{endpoint} }

// BenchmarkDesign compares the designs by the waiting times of the highest tier.
func BenchmarkDesign(b *testing.B) {
	for _, design := range []struct {
		name string
		modelDesign
	}{
		{"owner-per-pool", modelDesign{1, func(*rand.Rand, *modelRun) int { return 0 }, func(*rand.Rand, int) []int { return []int{0} }}},
		{"owner-per-endpoint-of-2", modelDesign{modelEndpoints, leastLoadedOf(2), ownEndpoint}},
		{"owner-per-endpoint-of-all", modelDesign{modelEndpoints, leastLoadedOf(modelEndpoints), ownEndpoint}},
		{"stealing-from-2-of-7-nodes", modelDesign{7, func(r *rand.Rand, _ *modelRun) int { return r.IntN(7) }, func(r *rand.Rand, _ int) []int { return r.Perm(7)[:2] }}},
	} {
		b.Run(design.name, func(b *testing.B) {
			var waits []float64
			started, inverted := 0, 0
			for seed := uint64(0); b.Loop(); seed++ {
				m := design.run(seed % 5)
				if seed < 5 {
					waits = append(waits, m.waits...)
					started += m.started
					inverted += m.inverted
				}
			}
			slices.Sort(waits)
			b.ReportMetric(1000*waits[len(waits)/2], "ms-median-wait-of-tier-0")
			b.ReportMetric(1000*waits[len(waits)*99/100], "ms-p99-wait-of-tier-0")
			b.ReportMetric(100*float64(inverted)/float64(started), "%-started-before-a-higher-one")
		})
	}
}
