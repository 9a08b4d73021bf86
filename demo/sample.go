package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"hawthornrill.example/hawthornrill/domain"
)

// ErrSample means that the sample run did not go as promised.
var ErrSample = errors.New("demo: sample run failed")

// sampleTurns is the number of turns of each sample conversation.
const sampleTurns = 3

// Sample has each organisation hold a conversation in a session, each turn at
// another node and sent again with the same key at a third, and make a plain call
// that may not be repeated, twice. It checks that every request was run once and
// answered alike. It writes a line for each turn.
func (d *Demo) RunSample(ctx context.Context, w io.Writer) error {
	urls := d.NodeURLs()
	node := 0
	requests := 0
	for _, row := range d.table.Organisations {
		talk, err := d.converse(ctx, row.ID, urls[node%len(urls)])
		if err != nil {
			return err
		}
		for turn := range sampleTurns {
			key := fmt.Sprintf("%s-turn-%d", row.ID, turn)
			first, again := urls[node%len(urls)], urls[(node+1)%len(urls)]
			node++
			if err := d.turn(ctx, w, talk, row.ID, key, first, again); err != nil {
				return err
			}
			requests++
		}
		if err := d.call(ctx, w, row.ID, urls[node%len(urls)], urls[(node+1)%len(urls)]); err != nil {
			return err
		}
		requests++
	}
	return d.verify(w, requests)
}

// turn sends a turn to one node and then, with the same key, to another.
func (d *Demo) turn(ctx context.Context, w io.Writer, talk *conversation, org domain.OrganisationID, key, first, again string) error {
	talk.ask("Please go on with " + key + ".")
	answer, err := talk.send(ctx, first, key)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSample, key, err)
	}
	replay, err := talk.send(ctx, again, key)
	if err != nil {
		return fmt.Errorf("%w: %s sent again: %w", ErrSample, key, err)
	}
	if replay.text != answer.text {
		return fmt.Errorf("%w: %s: the answer sent again differs", ErrSample, key)
	}
	talk.answered(answer.text)
	_, err = fmt.Fprintf(w, "%-14s %-24s %3d events, first after %4d ms, all after %5d ms; sent again: same answer after %d ms\n",
		org, key, answer.events, answer.first.Milliseconds(), answer.total.Milliseconds(), replay.total.Milliseconds())
	return err
}

// converse opens a session for the organisation at a node.
func (d *Demo) converse(ctx context.Context, org domain.OrganisationID, url string) (*conversation, error) {
	talk := newConversation(d.options.Deployment.Model, d.options.Deployment.Keys[org])
	if err := talk.open(ctx, url); err != nil {
		return nil, fmt.Errorf("%w: session of %s: %w", ErrSample, org, err)
	}
	return talk, nil
}

// call makes a plain call that may not be repeated, and sends it again with the
// same key to another node.
func (d *Demo) call(ctx context.Context, w io.Writer, org domain.OrganisationID, first, again string) error {
	deployment := d.options.Deployment
	path := "/services/" + deployment.Service + deployment.OncePath
	call := plainCall{key: deployment.Keys[org], path: path, body: deployment.OnceBody, requestKey: string(org) + "-once"}
	answer, err := call.send(ctx, first)
	if err != nil {
		return fmt.Errorf("%w: POST %s of %s: %w", ErrSample, path, org, err)
	}
	replay, err := call.send(ctx, again)
	if err != nil {
		return fmt.Errorf("%w: POST %s of %s sent again: %w", ErrSample, path, org, err)
	}
	if answer != replay {
		return fmt.Errorf("%w: POST %s of %s: the answer sent again differs", ErrSample, path, org)
	}
	_, err = fmt.Fprintf(w, "%-14s POST %s: %s; sent again: the same\n", org, path, strings.TrimSpace(answer))
	return err
}

// verify holds the endpoints' own logs against the promise.
func (d *Demo) verify(w io.Writer, requests int) error {
	runs := d.RunCounts()
	for key, n := range runs {
		if n != 1 {
			return fmt.Errorf("%w: %s was run %d times", ErrSample, key, n)
		}
	}
	if len(runs) != requests {
		return fmt.Errorf("%w: %d requests were run, %d were sent", ErrSample, len(runs), requests)
	}
	_, err := fmt.Fprintf(w, "%d requests sent twice each, every one run once by the endpoints' own logs\n", requests)
	return err
}
