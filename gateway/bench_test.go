package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/places"
)

// discardWriter is an http.ResponseWriter that accepts and drops everything.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Flush()                      {}

// repeatReader reads the same text over and over.
type repeatReader struct {
	text string
	rest string
}

func (e *repeatReader) Read(p []byte) (int, error) {
	if e.rest == "" {
		e.rest = e.text
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// BenchmarkForwardEvent reads, records and forwards an event with 75 bytes of data, without network connections.
func BenchmarkForwardEvent(b *testing.B) {
	f := newFixture(b, nil, func(http.ResponseWriter, *http.Request) {})
	slot, err := f.gateway.deps.Places.Acquire(b.Context(), &places.Request{
		Service: "s", FirstByteDue: time.Now().Add(time.Minute), Due: time.Now().Add(time.Minute),
	})
	assert.NilError(b, err)
	route := f.config.table.Route("h.example", "/r/")
	t := &task{gateway: f.gateway, writer: discardWriter{}, route: route, service: "s", headSent: true, started: time.Now()}
	a := &attempt{task: t, slot: slot, started: time.Now(), stallTimer: time.NewTimer(time.Hour)}
	events := newEventReader(&repeatReader{text: "id: 12\ndata: " + strings.Repeat("x", 75) + "\n\n"})
	b.ReportAllocs()
	for b.Loop() {
		event, err := events.next()
		if err != nil {
			b.Fatal(err)
		}
		a.recordEvent()
		if err := a.forwardEvent(nil, event); err != nil {
			b.Fatal(err)
		}
		t.lastEventID = event.id
	}
}
