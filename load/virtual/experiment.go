package virtual

import (
	"context"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/load"
)

// RunExperiment runs a workload once under a policy. Under testing/synctest it takes only
// the time of the computation. The bound is computed for the operators' table as changed
// by the policy.
func RunExperiment(d *deployment.Deployment, policy Policy, options load.Options) (*load.Report, error) {
	workload, err := load.Generate(load.ModelOf(d), options)
	if err != nil {
		return nil, err
	}
	cluster, err := Start(d, policy)
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	table := policy.table(d.Table)
	record := load.Run(context.Background(), workload, cluster, load.RunOptions{OneWayDelay: d.ClientOneWayDelay})
	return load.NewReport(workload, policy.Name, record, cluster.ServerRecord(), load.GoodputBound(workload, &table)), nil
}
