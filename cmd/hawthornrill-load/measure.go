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
	// startTimeout bounds the start of the demo.
	startTimeout = 30 * time.Second
	// endTimeout is how long after the last arrival a run may go on.
	endTimeout = 2 * time.Minute
	// witnessTimeout bounds the reading of the stand-ins' logs.
	witnessTimeout = 30 * time.Second
)

// measure sends the workload and reports.
func measure(ctx context.Context, a *arguments) error {
	if a.addresses != nil {
		return send(ctx, a, a.addresses, a.witnesses())
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	log := logging.New(settings.Log{Level: "error", Format: "console"}, os.Stderr)
	d, err := demo.Start(starting, demo.Options{Deployment: a.deployment, Log: log})
	if err != nil {
		return err
	}
	return errors.Join(send(ctx, a, d.Callers(), d.Endpoints()), d.Stop())
}

// witnesses are the rows of the stand-ins given by address.
func (a *arguments) witnesses() []config.EndpointRow {
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

// send runs the workload against nodes and judges it by the endpoints' logs.
func send(ctx context.Context, a *arguments, addresses []string, endpoints []config.EndpointRow) error {
	workload, err := load.Generate(load.ModelOf(a.deployment), a.options)
	if err != nil {
		return err
	}
	target, err := load.NewHTTPTarget(addresses, a.open)
	if err != nil {
		return err
	}
	defer target.Close()
	running, cancel := context.WithTimeout(ctx, a.options.Duration+endTimeout)
	defer cancel()
	record := load.Run(running, workload, target, load.RunOptions{MaxOpen: a.open})
	reading, stop := context.WithTimeout(ctx, witnessTimeout)
	defer stop()
	witness, err := load.FetchServerRecord(reading, endpoints)
	if err != nil {
		return err
	}
	bound := load.GoodputBound(workload, &a.deployment.Table)
	return report(a, load.NewReport(workload, "real-time", record, witness, bound), len(endpoints) > 0)
}

// report writes what was measured. Without the endpoints' logs there is no verdict.
func report(a *arguments, r *load.Report, judged bool) error {
	if err := r.WriteTable(os.Stdout); err != nil {
		return err
	}
	if a.report != "" {
		if err := r.Save(a.report); err != nil {
			return err
		}
	}
	if !judged {
		fmt.Println("no -engines or -services given: the verdict above is void")
		return nil
	}
	if broken := r.Verdict.Violations(); broken > 0 {
		return fmt.Errorf("%w: %d times", errBroken, broken)
	}
	return nil
}
