package gateway

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/origin"
)

// Header fields between nodes. Callers' and endpoints' fields of these names are not forwarded.
const (
	fieldForward       = "Hawthornrill-Forward"
	fieldForwardResult = "Hawthornrill-Forward-Result"
	// fieldForwardResumption takes the place of fieldForward if the request continues a stream. Programs that know no software
	// versions refuse it.
	fieldForwardResumption = "Hawthornrill-Forward-Resumption"
	// fieldOrigin is what sends the response's first event.
	fieldOrigin = "Hawthornrill-Origin"
	// fieldAnsweredBy is the endpoint's incarnation in a response of an endpoint that the other node passes on.
	fieldAnsweredBy = "Hawthornrill-Endpoint"
)

// forwardHead is what a node tells another one about a request that it forwards, beside the caller's header.
type forwardHead struct {
	From domain.NodeID `cbor:"1,keyasint"`
	// TimeLeft is the time until the request's deadline, WaitedBefore how long the caller has been waiting.
	TimeLeft     time.Duration `cbor:"2,keyasint"`
	WaitedBefore time.Duration `cbor:"3,keyasint"`
	// LastEventID is the id of the last event that the caller has, empty if it has none.
	LastEventID string `cbor:"4,keyasint,omitempty"`
	// Tried are the endpoints that must not be chosen, MaxEndpoints is the number of others to which the request may be sent.
	Tried        []domain.EndpointID `cbor:"5,keyasint,omitempty"`
	MaxEndpoints int                 `cbor:"6,keyasint"`
	// MayHaveRun is true if an earlier attempt may have run.
	MayHaveRun bool `cbor:"7,keyasint,omitempty"`
	// Origin is what began the stream that the request continues.
	Origin origin.Origin `cbor:"8,keyasint"`
}

// forwardResult is what the other node says of a request to which it responds itself.
type forwardResult struct {
	// Outcome is unknown if the request may have run at that node's endpoints, otherwise not_run.
	Outcome domain.Outcome `cbor:"1,keyasint"`
	// Tried are the endpoints that it tried, Dispatches is the number of those that got the request.
	Tried      []domain.EndpointID `cbor:"2,keyasint,omitempty"`
	Dispatches int                 `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration       `cbor:"4,keyasint,omitempty"`
}

// Forwarded reports whether a request to ServeForwarded is one that another node forwards.
func Forwarded(r *http.Request) bool {
	return r.Header.Get(fieldForward) != "" || r.Header.Get(fieldForwardResumption) != ""
}

// setField sets a header field to the encoded value.
func setField(h http.Header, name string, value any) {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // can't fail: numbers, strings and lists of them
	}
	h.Set(name, base64.RawURLEncoding.EncodeToString(data))
}

// readField decodes a header field into the value that to points to.
func readField(h http.Header, name string, to any) error {
	data, err := base64.RawURLEncoding.DecodeString(h.Get(name))
	if err == nil {
		err = cbor.Unmarshal(data, to)
	}
	if err != nil {
		return fmt.Errorf("gateway: field %s: %w", name, err)
	}
	return nil
}
