package endpointgate

import (
	"fmt"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// BenchmarkAllows measures the look at one endpoint on a request's path, while other endpoints rest.
func BenchmarkAllows(b *testing.B) {
	for _, resting := range []int{0, 1, 100} {
		b.Run(fmt.Sprintf("resting=%d", resting), func(b *testing.B) {
			g, e := newTestGate(), testEndpoint()
			for i := range resting {
				g.Record(&directory.Endpoint{ID: domain.EndpointID(fmt.Sprint(i)), Born: 1}, "r", Notice{Rest: time.Minute})
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Allows(e)
			}
		})
	}
}
