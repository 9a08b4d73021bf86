package gossip

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// typicalReport is the report of a node in a fleet of 72 nodes with 60 endpoints and 16 organisations.
func typicalReport() Report {
	r := Report{
		From: "front-hall-nedd-11", Life: 1 << 60, DataCentre: "hall-nedd", SentAt: boottime.Instant(1 << 45), Echo: boottime.Instant(1 << 45),
		EchoLife: 1 << 60, Version: 400, Age: 1 << 30, Endpoints: 90_000,
	}
	for i := range 10 {
		r.Loads = append(r.Loads, Load{
			Endpoint: domain.EndpointID(fmt.Sprintf("i-%010x", i)), Requests: 2, PrefillTokens: 700, PromptTokens: 9000, AnswerTokens: 600,
			TokenMicros: 5000,
		})
	}
	for i := range 16 {
		r.Spent = append(r.Spent, LimitUsage{Organisation: domain.OrganisationID(fmt.Sprintf("org%04d", i)), Total: 812_345, Used: 95_001, Level: 40_002})
	}
	return r
}

// Nodes send some hundred reports a second, so the size of a report determines most of the traffic between them.
func TestEncodedReportSize(t *testing.T) {
	fullWidth, err := cbor.Marshal(typicalReport())
	assert.NilError(t, err)
	compact, err := encMode.Marshal(typicalReport())
	assert.NilError(t, err)
	t.Logf("%d bytes, %d with full-width floats", len(compact), len(fullWidth))
	assert.Assert(t, len(compact) < 950 && len(compact) < len(fullWidth)*85/100, "encoded size %d, with full-width floats %d", len(compact), len(fullWidth))
	var decoded Report
	assert.NilError(t, cbor.Unmarshal(compact, &decoded))
	assert.DeepEqual(t, decoded, typicalReport())
}
