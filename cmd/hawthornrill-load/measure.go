package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/demo"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/load"
	"hawthornrill.example/hawthornrill/logging"
	"hawthornrill.example/hawthornrill/settings"
)

const (
	// startTimeout bounds the startup of the demo deployment.
	startTimeout = 30 * time.Second
	// completionTimeout bounds the time that requests may take after the last arrival.
	completionTimeout = 2 * time.Minute
	// logFetchTimeout bounds the fetching of the stand-ins' logs.
	logFetchTimeout = 30 * time.Second
)

// measure runs the workload against the given nodes, or those of a demo deployment, and writes the report.
func measure(ctx context.Context, a *arguments) error {
	if a.addresses != nil {
		return send(ctx, a, a.addresses, a.standInRows())
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	log := logging.New(settings.Log{Level: "error", Format: "console"}, os.Stderr)
	d, err := demo.Start(starting, demo.Options{Deployment: a.deployment, Log: log})
	if err != nil {
		return err
	}
	return errors.Join(send(ctx, a, d.NodeURLs(), d.Endpoints()), d.Stop())
}

// standInRows returns endpoint rows for the stand-ins whose URLs were given.
func (a *arguments) standInRows() []config.EndpointRow {
	var rows []config.EndpointRow
	add := func(kind config.EndpointKind, addresses []string) {
		for _, address := range addresses {
			rows = append(rows, config.EndpointRow{ID: domain.EndpointID(address), Kind: kind, Address: address})
		}
	}
	add(config.KindEngine, a.engines)
	add(config.KindService, a.services)
	return rows
}

// send runs the workload against nodes, measures it, checks it against the endpoints' logs and writes the report.
func send(ctx context.Context, a *arguments, addresses []string, endpoints []config.EndpointRow) error {
	workload, err := load.Generate(load.ModelOf(a.deployment), a.options)
	if err != nil {
		return err
	}
	target, err := load.NewHTTPTarget(addresses, a.maxOpen)
	if err != nil {
		return err
	}
	defer target.Close()
	running, cancel := context.WithTimeout(ctx, a.options.Duration+completionTimeout)
	defer cancel()
	record := load.Run(running, workload, target, load.RunOptions{MaxOpen: a.maxOpen})
	fetching, stop := context.WithTimeout(ctx, logFetchTimeout)
	defer stop()
	endpointLogs, err := load.FetchServerRecord(fetching, endpoints)
	if err != nil {
		return err
	}
	bound := load.GoodputBound(workload, &a.deployment.Table)
	return report(a, load.NewReport(workload, "real-time", record, endpointLogs, bound), len(endpoints) > 0)
}

// report writes the results. Without the endpoints' logs there is no valid verdict.
func report(a *arguments, r *load.Report, hasLogs bool) error {
	if err := r.WriteTable(os.Stdout); err != nil {
		return err
	}
	if a.reportDirectory != "" {
		if err := r.Save(a.reportDirectory); err != nil {
			return err
		}
	}
	if !hasLogs {
		fmt.Println("neither -engines nor -services given: the verdict above is not valid")
		return nil
	}
	if violations := r.Verdict.Violations(); violations > 0 {
		return fmt.Errorf("%w: %d violations", errGuaranteeViolated, violations)
	}
	return nil
}
