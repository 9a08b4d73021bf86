package api

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Timed clears faults some time after the request that set them. A fault that a later request has set stays: the time was not its.
type Timed struct {
	mu sync.Mutex
	// requests counts the requests, setBy holds the number of the last one that set each fault, by its JSON name.
	requests uint64
	setBy    map[string]uint64
}

// Set records a request that sets the named faults. If after is above 0, clear is called then with the names of those that no later
// request has set.
func (t *Timed) Set(names []string, after time.Duration, clear func(names []string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	request := t.requests
	if t.setBy == nil {
		t.setBy = make(map[string]uint64)
	}
	for _, name := range names {
		t.setBy[name] = request
	}
	if after > 0 {
		time.AfterFunc(after, func() {
			if left := t.setByRequest(request); len(left) > 0 {
				clear(left)
			}
		})
	}
}

func (t *Timed) setByRequest(request uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, last := range t.setBy {
		if last == request {
			names = append(names, name)
		}
	}
	return names
}

// Without returns the value with the members of these JSON names set to zero.
func Without[T any](value T, names []string) T {
	members := members(value)
	for _, name := range names {
		delete(members, name)
	}
	data, err := json.Marshal(members)
	if err == nil {
		var cleared T
		if err = json.Unmarshal(data, &cleared); err == nil {
			return cleared
		}
	}
	panic(fmt.Sprintf("api: faults can't be encoded: %v", err))
}

// Names returns the JSON names of the value's members.
func Names(value any) []string { return slices.Collect(maps.Keys(members(value))) }

func members(value any) map[string]json.RawMessage {
	var members map[string]json.RawMessage
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, &members)
	}
	if err != nil {
		panic(fmt.Sprintf("api: faults can't be encoded: %v", err)) // numbers, flags and texts only
	}
	return members
}
