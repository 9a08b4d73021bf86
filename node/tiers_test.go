package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// smallDeployment returns the Cucine deployment with one engine of four slots in each
// data centre.
func smallDeployment() *deployment.Deployment {
	d := deployment.Cucine()
	var rows []config.EndpointRow
	for _, row := range d.Table.Endpoints {
		if row.Kind == config.KindEngine && row.ID == domain.EndpointID(row.DataCentre+"-engine-1") {
			row.Limit = 4
			rows = append(rows, row)
		}
	}
	d.Table.Endpoints = rows
	return d
}

// TestTiersUnderOverload fills all engines with requests of the lowest tier and then
// sends more of the highest tier than can be served in time beside them. All requests
// of the highest tier must be answered, with no more revocations than needed.
func TestTiersUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, smallDeployment(), engine.Options{Speed: engine.GenerationB()})
		defer c.close()
		var group sync.WaitGroup
		send := func(org domain.OrganisationID, count, tokens int) []*httptest.ResponseRecorder {
			responses := make([]*httptest.ResponseRecorder, count)
			for i := range count {
				node := c.members[i%len(c.members)].Node
				group.Go(func() {
					key := fmt.Sprintf("%s-%d", org, i)
					responses[i] = c.chat(context.Background(), node, org, key, "prompt "+key, tokens)
				})
			}
			return responses
		}
		low := send("drafts", 40, 2000)
		time.Sleep(3 * time.Second)
		high := send("showrooms", 10, 50)
		group.Wait()
		for i, r := range high {
			assert.Check(t, r.Code == http.StatusOK, "high %d: %s", i, r.Body)
		}
		outcomes := map[string]int{}
		for _, r := range low {
			outcomes[outcomeOf(t, r)]++
		}
		t.Logf("lowest tier: %v", outcomes)
		assert.Check(t, outcomes[string(domain.OutcomeRan)] <= 10, "more requests were revoked than the higher tier needed")
		c.assertAtMostOnce()
	})
}

// outcomeOf returns "answered", or the outcome in the problem document.
func outcomeOf(t *testing.T, r *httptest.ResponseRecorder) string {
	if r.Code == http.StatusOK {
		return "answered"
	}
	return string(decodeProblem(t, r).Outcome)
}
