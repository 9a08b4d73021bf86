// Command nightly shows how to embed two parts of the library in another program: several processes can run a job, a
// lease ensures that one at a time does, and a replicated document tells all of them what the job is. In this example the
// processes are goroutines that use an in-memory store and network; a real program provides its own implementations of
// store.Store and peer.Transport.
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

// run starts two workers, writes the job through one of them and prints the job that the lease holder ran.
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

// worker represents a process that can run the job.
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
	return w, documents.Register(document.Spec{Name: jobName, Apply: w.applyJob})
}

// applyJob implements document.Spec.Apply: it keeps only the latest job.
func (w *worker) applyJob(_ document.Version, value []byte) error {
	select {
	case <-w.job:
	default:
	}
	w.job <- string(value)
	return nil
}

// run campaigns for the lease and runs the job while this worker holds it.
func (w *worker) run(ctx context.Context, done chan<- string) {
	go func() { _ = w.documents.Run(ctx) }() // returns when the context ends
	lead := func(ctx context.Context, l *lease.Lease) {
		select {
		case job := <-w.job:
			w.runJob(ctx, l, job, done)
		case <-ctx.Done():
		}
	}
	_ = lease.Campaign(ctx, w.store, "jobs/"+jobName, lease.Options{Owner: string(w.self.Node)}, lead) // fails only for invalid options
}

// runJob runs the job if the lease is still held: a worker that was paused may have lost it.
func (w *worker) runJob(ctx context.Context, l *lease.Lease, job string, done chan<- string) {
	if !l.Held() {
		return
	}
	select {
	case done <- job:
	case <-ctx.Done():
	}
}
