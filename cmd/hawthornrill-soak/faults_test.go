package soak

import (
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"hawthornrill.example/hawthornrill/endpointlimit/limittest"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// faults lists the injectable faults. Each function injects its fault and returns when the fault is over. The order is part
// of what a seed means.
func (s *soak) faults() []func(node int, lasts time.Duration, choice uint64) {
	return []func(int, time.Duration, uint64){
		s.kill, s.stopGracefully, s.freeze, s.reload, s.cutStore, s.failStore, s.compact, s.revoke, s.replaceEndpoint,
		s.crashEndpoint, s.breakStreams, s.refuse, s.losePeers, s.limitEndpoint,
	}
}

// maxExitTime bounds the time from SIGTERM to the exit of a process that is not frozen meanwhile.
const maxExitTime = 10 * time.Second

// restart starts a process that has exited, unless another fault has started it, and waits until it is ready or ends again.
func (s *soak) restart(n *process) {
	n.restarting.Lock()
	defer n.restarting.Unlock()
	if !n.running() {
		n.start(s.t, binary)
	}
	for deadline := time.Now().Add(20 * time.Second); n.running() && !s.ready(n) && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *soak) kill(node int, _ time.Duration, _ uint64) {
	defer s.history.beginFault("kill", s.nodes[node].name)()
	s.nodes[node].killAndWait()
	s.restart(s.nodes[node])
}

func (s *soak) stopGracefully(node int, _ time.Duration, _ uint64) {
	n := s.nodes[node]
	endFault := s.history.beginFault("stop", n.name)
	sent := time.Now()
	exited := n.signal(syscall.SIGTERM)
	if !s.exitsInTime(n, exited, sent) {
		s.t.Errorf("%s did not exit within %v of SIGTERM\n%s", n.name, maxExitTime, s.history.timeline(outcome{node: n.name, sent: sent, ended: time.Now()}))
		n.killAndWait()
	}
	endFault()
	defer s.history.beginFault("start", n.name)()
	s.restart(n)
}

// exitsInTime waits for the exit of a process that got SIGTERM. Time in which it was frozen does not count.
func (s *soak) exitsInTime(n *process, exited <-chan struct{}, sent time.Time) bool {
	for {
		left := time.Until(sent.Add(maxExitTime + s.history.frozenSince(n.name, sent)))
		if left <= 0 {
			return false
		}
		select {
		case <-exited:
			return true
		case <-time.After(left):
		}
	}
}

func (s *soak) freeze(node int, lasts time.Duration, _ uint64) {
	defer s.history.beginFault("freeze", s.nodes[node].name)()
	s.nodes[node].signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	s.nodes[node].signal(syscall.SIGCONT)
}

func (s *soak) reload(node int, _ time.Duration, _ uint64) {
	defer s.history.beginFault("reload", s.nodes[node].name)()
	for range 100 {
		if s.nodes[node].reload() {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *soak) cutStore(node int, lasts time.Duration, choice uint64) {
	m := mode(1 + choice%uint64(modeCount-1))
	defer s.history.beginFault("store "+modeNames[m], s.nodes[node].name)()
	s.storeProxies[node].setMode(m)
	time.Sleep(3 * lasts)
	s.storeProxies[node].setMode(modeReset) // close connections that were silenced
	s.storeProxies[node].setMode(modePass)
}

// losePeers drops datagrams between a node and its peers: a fraction in both directions, or all in one direction.
func (s *soak) losePeers(node int, lasts time.Duration, choice uint64) {
	l := lossMode(1 + choice%uint64(lossModeCount-1))
	defer s.history.beginFault("datagrams "+lossNames[l], s.nodes[node].name)()
	s.relays[node].setMode(l)
	time.Sleep(2 * lasts)
	s.relays[node].setMode(lossNone)
}

func (s *soak) failStore(_ int, lasts time.Duration, choice uint64) {
	defer s.history.beginFault("store fails", "")()
	s.store.FailWith([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[choice%2])
	time.Sleep(lasts)
	s.store.FailWith(0)
}

func (s *soak) compact(int, time.Duration, uint64) { s.store.Compact() }

func (s *soak) revoke(_ int, _ time.Duration, choice uint64) {
	s.configure(func() {
		if len(s.keys) < 3 {
			return
		}
		at := int(choice % uint64(len(s.keys)))
		s.history.mu.Lock()
		s.history.revoked[s.keys[at]] = time.Now()
		s.history.mu.Unlock()
		s.keys = append(s.keys[:at:at], s.keys[at+1:]...)
	})
}

// replaceEndpoint starts a new endpoint and drains an old one.
func (s *soak) replaceEndpoint(_ int, lasts time.Duration, choice uint64) {
	old := s.takeOut(choice)
	old.Register(s.store, "draining")
	s.mu.Lock()
	s.drainingSince[old] = time.Now()
	s.mu.Unlock()
	time.Sleep(lasts + 2*time.Second)
	s.store.Remove("servers/" + old.ID)
}

func (s *soak) crashEndpoint(_ int, lasts time.Duration, choice uint64) {
	defer s.history.beginFault("endpoint crashes", "")()
	old := s.takeOut(choice)
	old.Close()
	time.Sleep(lasts)
	s.store.Remove("servers/" + old.ID)
}

// takeOut replaces an endpoint by a new one, so that no further faults pick it. It goes on serving.
func (s *soak) takeOut(choice uint64) *platformtest.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := int(choice % uint64(len(s.endpoints)))
	old := s.endpoints[at]
	s.endpoints = append(s.endpoints[:at:at], s.endpoints[at+1:]...)
	s.serving[old].to = time.Now()
	s.addEndpoint(old.Service, at, s.nextVersion(old))
	return old
}

func (s *soak) pick(choice uint64) *platformtest.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[choice%uint64(len(s.endpoints))]
}

func (s *soak) breakStreams(_ int, lasts time.Duration, choice uint64) {
	defer s.history.beginFault("streams break", "")()
	e := s.pick(choice)
	s.impair(e)
	e.AbortStreamsAfter(2)
	time.Sleep(lasts)
	e.AbortStreamsAfter(0)
}

func (s *soak) refuse(_ int, lasts time.Duration, choice uint64) {
	defer s.history.beginFault("endpoint refuses", "")()
	e := s.pick(choice)
	s.impair(e)
	e.SetRefusing(true)
	time.Sleep(lasts)
	e.SetRefusing(false)
}

// limitEndpoint has an endpoint advertise a rate limit for long enough that it takes effect at the nodes. Each endpoint
// does so at most once, so that it only ever has one limit to check against.
func (s *soak) limitEndpoint(_ int, lasts time.Duration, choice uint64) {
	l := s.beginLimit(s.pick(choice), 2+int(choice>>8%6))
	if l == nil {
		return
	}
	time.Sleep(limitPropagationTime + limittest.Window + lasts)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.to = time.Now()
	l.endpoint.AdvertiseLimit("")
}

// beginLimit has the endpoint advertise the limit. It returns nil if the endpoint has advertised one before.
func (s *soak) beginLimit(e *platformtest.Endpoint, perSecond int) *limitPeriod {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.limits, func(l *limitPeriod) bool { return l.endpoint == e }) {
		return nil
	}
	l := &limitPeriod{endpoint: e, perSecond: perSecond, from: time.Now()}
	s.limits = append(s.limits, l)
	s.serving[e].impaired = true
	e.AdvertiseLimit(strconv.Itoa(perSecond))
	return l
}
