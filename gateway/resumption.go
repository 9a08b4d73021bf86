package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/origin"
	"hawthornrill.example/hawthornrill/routetable"
)

// isResumption reports whether the request continues a stream that another attempt of its caller began.
func (t *task) isResumption() bool {
	return t.route.Kind == routetable.Stream && (t.call.LastEventID != "" || t.call.Resumes != "")
}

// bind chooses the request's service. A resumption is bound to what began the stream, and refused if that is not known.
func (t *task) bind() *problem {
	if !t.isResumption() {
		t.service = t.chooseService()
		return nil
	}
	if !t.route.Resumable {
		return &problem{Status: http.StatusBadRequest, Title: "streams of this route can't be resumed"}
	}
	if refused := t.lookupOrigin(); refused != nil {
		return refused
	}
	t.service = t.origin.Service
	if !t.route.Serves(t.service) {
		return notResumable("the route no longer goes to the service that began the stream")
	}
	return nil
}

// lookupOrigin finds what began the stream that the request resumes.
func (t *task) lookupOrigin() *problem {
	found := t.searchOrigin()
	t.origin = found.Origin
	t.gateway.metrics.resumptions[found.State].Inc()
	t.gateway.deps.Log.Info().Str("request", t.call.ID).Str("resumes", t.call.Resumes).Str("last_event", t.call.LastEventID).
		Stringer("origin", found.State).Str("service", found.Origin.Service).Str("software_version", found.Origin.Version).
		Int("queried", found.Queried).Int("replied", found.Replied).Dur("took_ms", found.Took).Msg("resumption of a stream")
	switch found.State {
	case origin.Known:
		return nil
	case origin.Unreachable:
		p := notResumable("the nodes that may know what began the stream don't reply")
		p.RetryAfter = shortRetryAfter
		return p
	default:
		return notResumable("it is not known which software version began the stream")
	}
}

// searchOrigin searches for what began the stream. One that is not named is taken at its content, so that all streams of the content that
// may have to be continued have to be known: after a loss of all nodes a later one may be the only one on record.
func (t *task) searchOrigin() origin.Result {
	origins, named := t.gateway.deps.Origins, t.call.Resumes != ""
	if !named && !origins.Covers(t.route.Timeout+originGrace) {
		return origin.Result{State: origin.Unknown}
	}
	return origins.Lookup(t.request.Context(), t.originKey(), named)
}

// notResumable refuses to continue a stream. Without Retry-After it promises nothing: only a new stream may be answered.
func notResumable(title string) *problem {
	return &problem{Status: http.StatusServiceUnavailable, Title: title, Outcome: outcomeNotRun}
}

// originKey identifies the attempt that began, or begins, the request's stream. A caller that does not name it is taken at the
// content of its request.
func (t *task) originKey() origin.Key {
	var organisation domain.OrganisationID
	if t.organisation != nil {
		organisation = t.organisation.ID
	}
	attempt := t.call.Resumes
	if attempt == "" {
		attempt = t.call.ID
	}
	return origin.NewKey(organisation, t.streamContent(), attempt)
}

// streamContent hashes what all attempts at a stream have in common.
func (t *task) streamContent() uint64 {
	d := xxhash.New()
	for _, part := range []string{t.request.Method, t.request.Host, t.request.RequestURI} {
		_, _ = d.WriteString(part + "\n") // never fails
	}
	_, _ = d.Write(t.body.data)
	return d.Sum64()
}

// recordOrigin records, before the first event of an attempt is forwarded, what sends it. It returns false if that is not what began
// the stream.
func (a *attempt) recordOrigin(response *exchange.Response) bool {
	t := a.task
	if !t.route.Resumable || a.eventCount > 1 {
		return true
	}
	from, endpointID := a.origin(response)
	if t.origin.Known() && from != t.origin {
		return false
	}
	if t.eventCount > 0 {
		return true
	}
	t.origin = from
	if t.isResumption() {
		t.gateway.deps.Origins.Continue(t.originKey(), from, t.originRetention())
	} else {
		t.gateway.deps.Origins.Begin(t.originKey(), from, endpointID, t.originRetention())
	}
	return true
}

// origin returns what sends the response, and the endpoint if this node sent the request there. The version is unknown if it
// may have changed since; see versionChanged.
func (a *attempt) origin(response *exchange.Response) (origin.Origin, domain.EndpointID) {
	t := a.task
	var from origin.Origin
	if a.endpoint == nil {
		if err := readField(response.Header, fieldOrigin, &from); err != nil {
			return origin.Origin{Service: t.service}, "" // a program that states no versions
		}
		return from, ""
	}
	from = origin.Origin{Service: t.service, Version: a.endpoint.Version}
	if a.versionChanged() {
		from.Version = ""
	}
	return from, a.endpoint.ID
}

// versionChanged reports whether the endpoint's entry, or that of a later incarnation, which may be what answers at its address, states
// another version than the one by which the endpoint was chosen.
func (a *attempt) versionChanged() bool {
	current := a.task.gateway.deps.Directory.Current()
	if e := current.Endpoint(a.endpoint.Incarnation()); e != nil && e.Version != a.endpoint.Version {
		return true
	}
	for _, e := range current.Service(a.endpoint.Service) {
		if e.ID == a.endpoint.ID && e.Version != a.endpoint.Version {
			return true
		}
	}
	return false
}

// originRetention is how long the caller may still resume the stream.
func (t *task) originRetention() time.Duration {
	return max(t.timeLeft(), t.call.Timeout-time.Since(t.started)) + originGrace
}

// originGrace is the time for the requests that a caller has sent by its deadline.
const originGrace = 2 * time.Second

// mayContinue reports whether the rest of a stream may come from another endpoint.
func (t *task) mayContinue() bool {
	return !t.headSent || t.origin.Known() && !t.gateway.deps.Origins.Doubtful(t.originKey())
}

// leftVersion reports whether the endpoint is no longer of the version to which the request is bound.
func (t *task) leftVersion(incarnation domain.EndpointID) bool {
	if !t.origin.Known() {
		return false
	}
	e := t.gateway.deps.Directory.Current().Endpoint(incarnation)
	return e == nil || e.Version != t.origin.Version
}
