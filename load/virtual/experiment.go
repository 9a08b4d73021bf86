package virtual

import (
	"context"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/load"
)

// RunExperiment runs a workload once under a policy. Under testing/synctest it takes
// no more time than the computing does. The bound is that of the operators' table
// as the policy has it.
func RunExperiment(d *deployment.Deployment, policy Policy, options load.Options) (*load.Report, error) {
	workload, err := load.Generate(load.ModelOf(d), options)
	if err != nil {
		return nil, err
	}
	fleet, err := Start(d, policy)
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	table := policy.table(d.Table)
	record := load.Run(context.Background(), workload, fleet, load.RunOptions{OneWayDelay: d.ClientOneWay})
	return load.NewReport(workload, policy.Name, record, fleet.ServerRecord(), load.GoodputBound(workload, &table)), nil
}
