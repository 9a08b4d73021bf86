package trial

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// CrashCase has a request crash each runner that runs it and come again, and counts how often it reaches runners.
type CrashCase struct {
	// Copies is how many requests come at the same time, Interval the time after which they come again, Rounds how often they come.
	Copies   int
	Interval time.Duration
	Rounds   int
	// ResetsChannels makes crashes reset the runners' channels instead of closing them.
	ResetsChannels bool
	// Method, Path and Body are those of the request.
	Method, Path, Body string
}

const (
	memoryMB = 134
	// stableWindow and maxRetries are those of the rule: retries count from that long after the third crash.
	stableWindow = 3 * time.Second
	maxRetries   = 3
	crashesToSee = 3
	// downTime is how long a runner is away after a crash.
	downTime = 2500 * time.Millisecond
	// otherInterval is the mean time between two requests of other callers.
	otherInterval = 26 * time.Millisecond
	deadline      = 1500 * time.Millisecond
	workTime      = 15 * time.Millisecond
)

// Exit codes.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitCannotRun = 2
)

// Run plays the case with the command line's arguments and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run.
func (c CrashCase) Run() int {
	out := flag.String("record", "record.txt", "file to write to")
	dir := flag.String("dir", ".", "temporary folder")
	trouble := flag.String("trouble", "1", "0 for a request that crashes nothing")
	flag.Parse()
	record, err := NewRecord(*out)
	if err != nil {
		fmt.Println(err)
		return ExitCannotRun
	}
	defer record.Close()
	s := &crashScene{options: c, record: record, trouble: *trouble != "0", crashed: make(map[string]bool), outcomes: make(map[string]int)}
	defer s.close()
	if err := s.start(*dir); err != nil {
		record.Say("cannot run: %v", err)
		return ExitCannotRun
	}
	s.play()
	return s.verdict()
}

// crashScene is a small installation: seven machines before the four runners of a plain service.
type crashScene struct {
	options CrashCase
	trouble bool
	record  *Record
	store   *Store
	runners []*Runner
	nodes   []*Node

	mu sync.Mutex
	// runs are the times at which runners began to run the request. thirdCrash is when it had crashed three of them, zero before.
	runs       []time.Time
	crashed    map[string]bool
	thirdCrash time.Time
	// outcomes counts the answers to other requests.
	outcomes map[string]int
}

// start starts all parts and waits until the nodes are ready.
func (s *crashScene) start(dir string) error {
	store, err := NewStore(s.record)
	if err != nil {
		return err
	}
	s.store = store
	PutConfiguration(store)
	zones := []string{"hall-taf", "hall-usk", "hall-tawe", "hall-wysg"}
	for _, zone := range zones {
		r := NewRunner(s.record, store, "gamecore", zone)
		r.WorkTime, r.DownTime, r.ResetsChannels = workTime, downTime, s.options.ResetsChannels
		r.Crashes = func(q *http.Request, _ []byte) bool { return s.trouble && q.URL.Path == s.options.Path }
		r.OnRun = s.ran
		if err := r.Start(); err != nil {
			return err
		}
		s.runners = append(s.runners, r)
	}
	for i, zone := range []string{"hall-taf", "hall-taf", "hall-usk", "hall-usk", "hall-tawe", "hall-tawe", "hall-wysg"} {
		n, err := NewNode(s.record, dir, fmt.Sprintf("front-%s-%d", zone, i%2+1), zone, store.Address(), memoryMB)
		if err == nil {
			err = n.Start()
		}
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.WaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// ran records that a runner began to run a request.
func (s *crashScene) ran(x Run) {
	if x.Path != s.options.Path {
		s.record.At(x.At, "runner %s runs %s %s", x.Runner, x.Path, x.Request)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, x.At)
	if x.Crashed {
		s.crashed[x.Runner] = true
	}
	if len(s.crashed) == crashesToSee && s.thirdCrash.IsZero() {
		s.thirdCrash = x.At.Add(workTime)
	}
	s.record.At(x.At, "runner %s begins to run the request as %s, which is run %d; it crashes: %v", x.Runner, x.Request, len(s.runs), x.Crashed)
}

// play sends other callers' requests for ten seconds, and then also the request.
func (s *crashScene) play() {
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Add(1)
	go func() {
		defer others.Done()
		s.sendOthers(stop)
	}()
	time.Sleep(10 * time.Second)
	for round := range s.options.Rounds {
		s.record.Line("the request comes, time %d", round+1)
		var copies sync.WaitGroup
		for _, i := range rand.Perm(len(s.nodes))[:s.options.Copies] {
			copies.Add(1)
			go func() {
				defer copies.Done()
				a := NewRequester(s.record).Send(s.nodes[i].Callers, Call{
					Method: s.options.Method, Host: Host, Path: s.options.Path, Key: Key, Body: s.options.Body, Deadline: deadline,
				})
				s.record.Line("request %s to %s: %v", a.ID, s.nodes[i].Name, a)
			}()
		}
		copies.Wait()
		time.Sleep(s.options.Interval)
	}
	close(stop)
	others.Wait()
}

// sendOthers sends requests of other callers, of which two in seven may be repeated.
func (s *crashScene) sendOthers(stop <-chan struct{}) {
	client := NewRequester(s.record)
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(otherInterval))):
		}
		call := Call{Method: "POST", Host: Host, Path: fmt.Sprintf("/score/%d", 100+i), Key: Key, Body: fmt.Sprint("team=", i), Deadline: deadline}
		if i%7 < 2 {
			call.Method, call.Path, call.Body = "GET", fmt.Sprintf("/clue/%d", 100+i), ""
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			node := s.nodes[rand.IntN(len(s.nodes))]
			a := client.Send(node.Callers, call)
			s.record.Line("request %s %s to %s: %v", call.Path, a.ID, node.Name, a)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.outcomes[a.Outcome()]++
		}()
	}
}

func (s *crashScene) verdict() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, at := range s.runs {
		if !s.thirdCrash.IsZero() && at.Sub(s.thirdCrash) > stableWindow {
			late++
		}
	}
	s.record.Say("the request ran %d times and crashed %d runners; %d retries reached runners later than %v after the third crash; others' answers %v",
		len(s.runs), len(s.crashed), late, stableWindow, s.outcomes)
	if late > maxRetries {
		s.record.Say("BROKEN: more than %d retries", maxRetries)
		return ExitBroken
	}
	s.record.Say("held")
	return ExitHeld
}

func (s *crashScene) close() {
	for _, n := range s.nodes {
		n.Kill()
	}
	for _, r := range s.runners {
		r.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
}
