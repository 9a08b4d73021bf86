package places

// noEndpoint is the refusal of a request that may go to none of the endpoints.
func (p *pool) noEndpoint(request *Request) *Refusal {
	if request.Version != "" && !p.serves(request.Version) {
		return &Refusal{Err: ErrNoVersion}
	}
	return &Refusal{Err: ErrNoEndpoint, RetryAfter: minRetryAfter}
}

// serves reports whether an endpoint of the version is in service.
func (p *pool) serves(version string) bool {
	for _, ep := range p.endpointList {
		if ep.endpoint.Version == version && !p.gate.Bars(ep.endpoint) {
			return true
		}
	}
	return false
}

// Serves reports whether an endpoint of the service and the version is in service.
func (a *Allocator) Serves(service, version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncDirectory()
	return a.pool(service).serves(version)
}

// refuseWithoutVersion refuses the waiters whose version's last endpoint has left.
func (p *pool) refuseWithoutVersion() {
	var refused []*waiter
	for item := range p.waiting.Ordered() {
		if w := item.Value; w.request.Version != "" && !p.serves(w.request.Version) {
			refused = append(refused, w)
		}
	}
	for _, w := range refused {
		w.refusal = &Refusal{Err: ErrNoVersion}
		p.waiting.Remove(&w.item)
		close(w.granted)
	}
}
