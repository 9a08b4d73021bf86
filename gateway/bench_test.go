package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/places"
)

// discard is a caller that takes everything.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}

// endless repeats a text.
type endless struct {
	text string
	rest string
}

func (e *endless) Read(p []byte) (int, error) {
	if e.rest == "" {
		e.rest = e.text
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// BenchmarkEvent reads an event of 75 bytes, accounts for it and passes it on; the connections are left out.
func BenchmarkEvent(b *testing.B) {
	f := newFixture(b, nil, func(http.ResponseWriter, *http.Request) {})
	place, err := f.gateway.parts.Places.Acquire(b.Context(), &places.Request{
		Service: "s", FirstByteDue: time.Now().Add(time.Minute), Due: time.Now().Add(time.Minute),
	})
	assert.NilError(b, err)
	route := f.knowledge.table.Route("h.example", "/r/")
	t := &task{gateway: f.gateway, writer: discard{}, route: route, service: "s", headSent: true, started: time.Now()}
	d := &dispatched{task: t, place: place, started: time.Now(), stall: time.NewTimer(time.Hour)}
	events := newEventReader(&endless{text: "id: 12\ndata: " + strings.Repeat("x", 75) + "\n\n"})
	b.ReportAllocs()
	for b.Loop() {
		event, err := events.next()
		if err != nil {
			b.Fatal(err)
		}
		d.heard()
		if err := d.passEvent(nil, event); err != nil {
			b.Fatal(err)
		}
		t.lastEvent = event.id
	}
}
