package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"hawthornrill.example/hawthornrill/domain"
)

// ErrSample means that the sample run failed or violated a guarantee.
var ErrSample = errors.New("demo: sample run failed")

// turnsPerConversation is the number of turns of each sample conversation.
const turnsPerConversation = 3

// RunSample runs one conversation in a session for each organisation. Each turn goes
// to the next node and is then retried with the same key at the node after it. Each
// organisation also sends one non-repeatable plain call, retried in the same way.
// RunSample checks that every request was run once and that the retry got the same
// answer, and writes a line for each turn and call.
func (d *Demo) RunSample(ctx context.Context, w io.Writer) error {
	urls := d.NodeURLs()
	node := 0
	requests := 0
	for _, row := range d.table.Organisations {
		chat, err := d.startConversation(ctx, row.ID, urls[node%len(urls)])
		if err != nil {
			return err
		}
		for turn := range turnsPerConversation {
			key := fmt.Sprintf("%s-turn-%d", row.ID, turn)
			first, again := urls[node%len(urls)], urls[(node+1)%len(urls)]
			node++
			if err := d.runTurn(ctx, w, chat, row.ID, key, first, again); err != nil {
				return err
			}
			requests++
		}
		if err := d.callService(ctx, w, row.ID, urls[node%len(urls)], urls[(node+1)%len(urls)]); err != nil {
			return err
		}
		requests++
	}
	return d.verifyRuns(w, requests)
}

// runTurn sends a turn to one node, then retries it with the same key at another.
func (d *Demo) runTurn(ctx context.Context, w io.Writer, chat *conversation, org domain.OrganisationID, key, first, again string) error {
	chat.addQuestion("Please go on with " + key + ".")
	answer, err := chat.send(ctx, first, key)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSample, key, err)
	}
	replay, err := chat.send(ctx, again, key)
	if err != nil {
		return fmt.Errorf("%w: retry of %s: %w", ErrSample, key, err)
	}
	if replay.text != answer.text {
		return fmt.Errorf("%w: %s: the retry got a different answer", ErrSample, key)
	}
	chat.addAnswer(answer.text)
	_, err = fmt.Fprintf(w, "%-14s %-24s %3d events, first after %4d ms, last after %5d ms; retry: same answer after %d ms\n",
		org, key, answer.events, answer.firstEvent.Milliseconds(), answer.total.Milliseconds(), replay.total.Milliseconds())
	return err
}

// startConversation opens a session for the organisation at a node.
func (d *Demo) startConversation(ctx context.Context, org domain.OrganisationID, url string) (*conversation, error) {
	chat := newConversation(d.options.Deployment.Model, d.options.Deployment.Keys[org])
	if err := chat.openSession(ctx, url); err != nil {
		return nil, fmt.Errorf("%w: session of %s: %w", ErrSample, org, err)
	}
	return chat, nil
}

// callService sends a non-repeatable plain call to one node, then retries it with the
// same key at another.
func (d *Demo) callService(ctx context.Context, w io.Writer, org domain.OrganisationID, first, again string) error {
	deployment := d.options.Deployment
	path := "/services/" + deployment.Service + deployment.NonIdempotentPath
	call := serviceCall{key: deployment.Keys[org], path: path, body: deployment.NonIdempotentBody, requestKey: string(org) + "-once"}
	answer, err := call.send(ctx, first)
	if err != nil {
		return fmt.Errorf("%w: POST %s of %s: %w", ErrSample, path, org, err)
	}
	replay, err := call.send(ctx, again)
	if err != nil {
		return fmt.Errorf("%w: retry of POST %s of %s: %w", ErrSample, path, org, err)
	}
	if answer != replay {
		return fmt.Errorf("%w: POST %s of %s: the retry got a different answer", ErrSample, path, org)
	}
	_, err = fmt.Fprintf(w, "%-14s POST %s: %s; retry: same answer\n", org, path, strings.TrimSpace(answer))
	return err
}

// verifyRuns checks against the endpoints' own logs that every request ran exactly
// once.
func (d *Demo) verifyRuns(w io.Writer, requests int) error {
	runs := d.RunCounts()
	for key, n := range runs {
		if n != 1 {
			return fmt.Errorf("%w: %s was run %d times, want 1", ErrSample, key, n)
		}
	}
	if len(runs) != requests {
		return fmt.Errorf("%w: %d requests were run, but %d were sent", ErrSample, len(runs), requests)
	}
	_, err := fmt.Fprintf(w, "%d requests sent twice each; by the endpoints' own logs, each ran once\n", requests)
	return err
}
