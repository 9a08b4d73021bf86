package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// evidence is what the ends of endpoints are judged by.
type evidence struct {
	records []record
	// provenSound reports whether answers have got far on the part.
	provenSound func(scope, part uint64) bool
	// share returns the share of the service's requests that have the part.
	share func(scope uint64, service string, part uint64) float64
	// endpoints returns the number of a service's endpoints.
	endpoints func(service string) int
	verdicts  []verdict
	// partial is true if evidence of other nodes may be missing, so that the cause of an end may be none of the requests that are known.
	partial bool
}

// suspect is a part with the ends that may be due to it.
type suspect struct {
	scope   uint64
	service string
	part    uint64
	records []*record
	// endpoints are the endpoints that ended, requests the requests that broke off, in order of their hashes.
	endpoints, requests []uint64
	// ends is the number of ends that were not at the same time.
	ends int
	// proven is true if answers have got far on the part before.
	proven bool
	// doubt is the probability of so many ends if the part is innocent.
	doubt float64
}

// judge returns the identifications that the evidence supports and that are not in force yet.
func judge(now time.Time, e evidence) []verdict {
	settled := slices.DeleteFunc(slices.Clone(e.records), func(r record) bool { return !r.confirmed || now.Sub(r.endedAt) < settleTime })
	e.records = settled
	var found []verdict
	for {
		v, ok := e.next(now)
		if !ok {
			return found
		}
		found = append(found, v)
		e.verdicts = append(e.verdicts, v)
	}
}

// next returns the identification with the strongest evidence that is not in force yet.
func (e *evidence) next(now time.Time) (verdict, bool) {
	all := e.suspects(now)
	candidates := slices.DeleteFunc(slices.Clone(all), func(s *suspect) bool { return !s.isCandidate() })
	// A part that is in most prompts is at most ends. It comes after those that no answer has ever got far on.
	if slices.ContainsFunc(candidates, func(s *suspect) bool { return !s.proven }) {
		candidates = slices.DeleteFunc(candidates, func(s *suspect) bool { return s.proven })
	}
	slices.SortFunc(candidates, func(a, b *suspect) int {
		return cmp.Or(-cmp.Compare(len(a.endpoints), len(b.endpoints)), cmp.Compare(a.doubt, b.doubt), cmp.Compare(a.part, b.part))
	})
	for _, first := range candidates {
		group := first.group(candidates)
		v := newVerdict(first, group[:min(len(group), maxVerdictParts)], now)
		if v.isIn(e.verdicts) {
			continue
		}
		if first.ends >= ambiguousEnds || !first.isAmbiguous(all, group) {
			return v, true
		}
	}
	return verdict{}, false
}

// isCandidate reports whether the evidence against the suspect suffices.
func (s *suspect) isCandidate() bool {
	if s.proven && s.ends < minEndsIfProven {
		return false
	}
	return s.doubt <= maxDoubt && len(s.requests) >= minRequests
}

// suspects returns the suspected parts with the evidence against each.
func (e *evidence) suspects(now time.Time) []*suspect {
	found := make(map[partKey]*suspect)
	explained := e.explained()
	counts := make(map[partKey]int)
	for i := range e.records {
		for _, part := range e.records[i].parts {
			counts[partKey{e.records[i].scope, part}]++
		}
	}
	for i := range e.records {
		r := &e.records[i]
		for _, part := range r.parts {
			k := partKey{r.scope, part}
			if counts[k] < minEnds || explained.excludes(r, part) {
				continue
			}
			if found[k] == nil {
				found[k] = &suspect{scope: r.scope, service: r.service, part: part, proven: e.provenSound(r.scope, part)}
			}
			found[k].records = append(found[k].records, r)
		}
	}
	list := make([]*suspect, 0, len(found))
	for _, s := range found {
		s.weigh(now, e, explained)
		list = append(list, s)
	}
	return list
}

// weigh computes what the suspect's records amount to.
func (s *suspect) weigh(now time.Time, e *evidence, explained explanations) {
	slices.SortFunc(s.records, func(a, b *record) int { return a.endedAt.Compare(b.endedAt) })
	var last time.Time
	for _, r := range s.records {
		known := slices.Contains(s.endpoints, r.endpoint)
		s.endpoints, s.requests = insert(s.endpoints, r.endpoint), insert(s.requests, r.request)
		// Requests that ran at the same time may have met one cause together.
		if !known && (last.IsZero() || !r.startedAt.Before(last) || r.endedAt.Sub(last) >= sameEndTime) {
			s.ends++
			last = r.endedAt
		}
	}
	s.doubt = 1
	if s.ends >= minEnds {
		s.doubt = math.Pow(e.hitProbability(now, s, explained), float64(s.ends))
	}
}

// hitProbability is the probability that an end without relation to the suspect meets a request that has it: by how often endpoints end, from the
// unexplained ends that the suspect had no part in, and by how many of the requests at an endpoint have it.
func (e *evidence) hitProbability(now time.Time, s *suspect, explained explanations) float64 {
	window := max(now.Sub(s.records[0].endedAt), rateWindow)
	var all, others []uint64
	early := 0
	for i := range e.records {
		r := &e.records[i]
		if r.service != s.service || now.Sub(r.endedAt) > window {
			continue
		}
		all = insert(all, r.endpoint)
		if r.early {
			early++
		}
		if len(explained[r.endpoint]) == 0 && !slices.Contains(s.endpoints, r.endpoint) {
			others = insert(others, r.endpoint)
		}
	}
	rate := float64(len(others)) / float64(max(e.endpoints(s.service), 1)) / window.Seconds()
	early -= len(s.records) - len(s.endpoints) // one cause of an end at most
	bystanders := float64(early) / float64(max(len(all), 1))
	if !e.partial {
		bystanders = max(bystanders-1, 0)
	}
	present := 0.0
	if s.proven || e.partial {
		present = 1 - math.Pow(1-min(e.share(s.scope, s.service, s.part), 1), bystanders)
	}
	return min(max(rate*exposure.Seconds(), present, minHitProbability), maxHitProbability)
}

// group returns the candidates that have been in all the suspect's requests and at the same ends.
func (s *suspect) group(candidates []*suspect) []uint64 {
	var parts []uint64
	for _, c := range candidates {
		if c.isLike(s) && slices.Equal(c.requests, s.requests) {
			parts = insert(parts, c.part)
		}
	}
	return parts
}

// isAmbiguous reports whether a suspect outside the group was at the same ends, and perhaps at more: that one may be the cause, although the
// evidence against it does not suffice yet.
func (s *suspect) isAmbiguous(suspects []*suspect, group []uint64) bool {
	return slices.ContainsFunc(suspects, func(o *suspect) bool {
		return !o.proven && containsAll(o.endpoints, s.endpoints) && !(o.scope == s.scope && slices.Contains(group, o.part))
	})
}

func (s *suspect) isLike(o *suspect) bool {
	return s.scope == o.scope && slices.Equal(s.endpoints, o.endpoints)
}

// explanations are the ends that identified parts explain.
type explanations map[uint64][]verdict

// explained returns, by endpoint, the identifications that explain its end.
func (e *evidence) explained() explanations {
	found := make(explanations)
	for _, v := range e.verdicts {
		if !v.inForce() {
			continue
		}
		for i := range e.records {
			if r := &e.records[i]; r.scope == v.scope && r.has(v.parts) {
				found[r.endpoint] = append(found[r.endpoint], v)
			}
		}
	}
	return found
}

// excludes reports whether the end of the record's endpoint is no evidence against the part. It remains evidence against the identified
// parts themselves, so that one of several is identified by further ends.
func (x explanations) excludes(r *record, part uint64) bool {
	return slices.ContainsFunc(x[r.endpoint], func(v verdict) bool { return v.scope != r.scope || !slices.Contains(v.parts, part) })
}

// insert adds the value to the sorted list, unless it is there.
func insert(list []uint64, value uint64) []uint64 {
	at, ok := slices.BinarySearch(list, value)
	if ok {
		return list
	}
	return slices.Insert(list, at, value)
}
