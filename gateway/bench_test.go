package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/routetable"
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
	events := newEventReader(&repeatReader{text: "id: 12\ndata: " + strings.Repeat("x", 75) + "\n\n"}, &bytebudget.Reservation{})
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

// BenchmarkCall measures a plain call over loopback, straight to the endpoint and by way of another node.
func BenchmarkCall(b *testing.B) {
	answer := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		_, _ = w.Write(make([]byte, 800))
	}
	public := func(r *routetable.Route) { // so that no limit is charged
		plainRoute(r)
		r.Public = true
	}
	measure := func(b *testing.B, f *fixture) {
		b.ReportAllocs()
		for b.Loop() {
			assert.Equal(b, f.call(nil).Status, http.StatusOK)
		}
	}
	b.Run("way=direct", func(b *testing.B) { measure(b, newFixture(b, public, answer)) })
	b.Run("way=another node", func(b *testing.B) {
		helper := newFixture(b, public, answer)
		f := cutOff(b, public)
		address := helper.asHelper()
		f.helpedBy("helper", address)
		done := make(chan struct{})
		b.Cleanup(func() { close(done) })
		go func() {
			for { // evidence holds for two seconds
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
					f.helpedBy("helper", address)
				}
			}
		}()
		measure(b, f)
	})
}
