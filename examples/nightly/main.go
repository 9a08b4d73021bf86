// Command nightly shows two of the library's parts embedded in a program of somebody else: several processes want to do a
// job, one at a time does it under a lease, and a document tells all of them what the job is. Here the processes are
// goroutines over stores and links in memory; a real program gives its own adapters of store.Store and peer.Transport.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/lease"
	"hawthornrill.example/hawthornrill/store/memstore"
)

const jobName = "nightly"

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run has two workers, writes the job through one of them and reports what the one that leads does.
func run(ctx context.Context, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	network, store := peertest.NewNetwork(), memstore.New(memstore.Options{})
	defer network.Close()
	members := []domain.Member{{Node: "catania-1", DataCentre: "catania"}, {Node: "palermo-1", DataCentre: "palermo"}}
	done := make(chan string)
	var workers []*worker
	for _, m := range members {
		w, err := newWorker(m, members, network, store)
		if err != nil {
			return err
		}
		workers = append(workers, w)
		go w.run(ctx, done)
	}
	edit := document.Edit{ID: document.NewEditID(), Author: "operator"}
	_, err := workers[1].documents.Update(ctx, jobName, edit, func(document.Version, []byte) (document.Value, error) {
		return document.NewValue([]byte("count the tokens")), nil
	})
	if err != nil {
		return fmt.Errorf("write the job: %w", err)
	}
	_, err = fmt.Fprintln(out, "one worker was told to", <-done)
	return err
}

// worker is one process that may do the job.
type worker struct {
	self      domain.Member
	store     *memstore.Client
	documents *document.Service
	job       chan string
}

func newWorker(self domain.Member, members []domain.Member, network *peertest.Network, store *memstore.Store) (*worker, error) {
	w := &worker{self: self, store: store.NewClient(), job: make(chan string, 1)}
	view := membership.NewStaticView(membership.AllAlive(self, members...))
	documents, err := document.New(document.Options{Transport: network.Node(self), Members: view, Store: w.store})
	if err != nil {
		return nil, err
	}
	w.documents = documents
	return w, documents.Register(document.Spec{Name: jobName, Apply: w.take})
}

// take keeps the latest job.
func (w *worker) take(_ document.Version, value []byte) error {
	select {
	case <-w.job:
	default:
	}
	w.job <- string(value)
	return nil
}

// run does the job whenever this worker holds the lease.
func (w *worker) run(ctx context.Context, done chan<- string) {
	go func() { _ = w.documents.Run(ctx) }() // it ends with the context
	lead := func(ctx context.Context, l *lease.Lease) {
		select {
		case job := <-w.job:
			w.do(ctx, l, job, done)
		case <-ctx.Done():
		}
	}
	_ = lease.Campaign(ctx, w.store, "jobs/"+jobName, lease.Options{Owner: string(w.self.Node)}, lead) // its options are right
}

// do does the job, if the lease is held still: a worker that was paused may have lost it.
func (w *worker) do(ctx context.Context, l *lease.Lease, job string, done chan<- string) {
	if !l.Held() {
		return
	}
	select {
	case done <- job:
	case <-ctx.Done():
	}
}
