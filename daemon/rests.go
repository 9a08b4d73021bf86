package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/endpoint/onesend"
)

const (
	// maxEndpointRest and maxStoreRest bound the rests that endpoints and the store ask for, so that a wrong value can't cut a
	// node off from them for good.
	maxEndpointRest = time.Hour
	maxStoreRest    = time.Minute
)

// restingTransport returns a transport that keeps the rests that hosts ask for, up to most, and logs them.
func restingTransport(most time.Duration, log zerolog.Logger) *onesend.Transport {
	return onesend.New(onesend.Options{MaxRest: most, OnRest: onesend.LogRests(log)})
}
