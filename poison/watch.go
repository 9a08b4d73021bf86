package poison

// watcher is a request that has to end once its prompt is refused.
type watcher struct {
	scope  uint64
	parts  []uint64
	cancel func()
}

// Watch calls cancel once, if the request is refused from some moment on. The function that it returns ends the watch; it must
// be called.
func (t *Tracker) Watch(r Request, cancel func()) (stop func()) {
	parts := r.suspects()
	if len(parts) == 0 {
		return func() {}
	}
	w := &watcher{scope: r.Scope.Hash(), parts: parts, cancel: cancel}
	t.watchersMu.Lock()
	t.watchers[w] = struct{}{}
	t.watchersMu.Unlock()
	if _, refused := t.verdicts.Load().refuses(w.scope, w.parts); refused {
		cancel()
	}
	return func() {
		t.watchersMu.Lock()
		defer t.watchersMu.Unlock()
		delete(t.watchers, w)
	}
}

// cancelRefused ends the requests that the identification refuses.
func (t *Tracker) cancelRefused(v verdict) {
	var refused []*watcher
	t.watchersMu.Lock()
	for w := range t.watchers {
		if w.scope == v.scope && containsAll(w.parts, v.parts) {
			refused = append(refused, w)
		}
	}
	t.watchersMu.Unlock()
	for _, w := range refused {
		w.cancel()
	}
}
