package virtual

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/load"
)

// Flags of the experiments. docs/EXPERIMENTS.md describes how to repeat them:
// go test ./load/virtual -run TestExperiment -args -policies default,round-robin -seeds 1,2,3.
var (
	deployments = flag.String("deployments", "cucine,pryce", "deployments to run")
	policyNames = flag.String("policies", "", "policies to run; if empty, the experiments are skipped")
	seeds       = flag.String("seeds", "1", "seeds of the workloads")
	loads       = flag.String("loads", "2", "offered work relative to capacity")
	seconds     = flag.Int("seconds", 30, "time over which requests arrive")
	reportDir   = flag.String("report", "", "directory for the JSON report and plots of each run")
)

// runInVirtualTime runs one experiment in virtual time.
func runInVirtualTime(t *testing.T, d *deployment.Deployment, policy Policy, options load.Options) *load.Report {
	var report *load.Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		report, err = RunExperiment(d, policy, options)
		assert.NilError(t, err)
	})
	return report
}

func parseNumber(t *testing.T, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return value
}

func TestExperiment(t *testing.T) {
	if *policyNames == "" {
		t.Skip("no -policies given")
	}
	for _, name := range strings.Split(*deployments, ",") {
		for _, relativeLoad := range strings.Split(*loads, ",") {
			for _, policyName := range strings.Split(*policyNames, ",") {
				for _, seed := range strings.Split(*seeds, ",") {
					policy, err := PolicyByName(policyName)
					assert.NilError(t, err)
					d, err := deployment.ByName(name)
					assert.NilError(t, err)
					began := time.Now()
					report := runInVirtualTime(t, d, policy, load.Options{
						Seed:     uint64(parseNumber(t, seed)),
						Load:     parseNumber(t, relativeLoad),
						Duration: time.Duration(*seconds) * time.Second,
					})
					assert.NilError(t, report.WriteTable(os.Stdout))
					fmt.Printf("computed in %v\n\n", time.Since(began).Round(time.Millisecond))
					saveReport(t, report)
				}
			}
		}
	}
}

func saveReport(t *testing.T, report *load.Report) {
	if *reportDir != "" {
		assert.NilError(t, report.Save(*reportDir))
	}
}
