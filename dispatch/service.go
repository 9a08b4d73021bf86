package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint"
)

// bodyChunk is how much of a plain response's body makes a chunk, in bytes.
const bodyChunk = 32 << 10

// ServiceRun is what a plain call needs.
type ServiceRun struct {
	// Request is the call; its Key is set by the run. The body is read once, while
	// it is being sent.
	Request endpoint.ServiceRequest
	// Buffer gets the head and the body. It is not ended by the run.
	Buffer *answer.Buffer
}

// RunService spends the permit, sends the call and copies the response into the
// buffer. A call is never sent twice, whether it may be repeated or not. The
// response is read as fast as the buffer takes it.
func (d *Dispatcher) RunService(ctx context.Context, permit *Permit, run ServiceRun) Result {
	service, ok := d.endpoints.Service(permit.endpoint)
	if !ok {
		return notSent(ErrNoAdapter, true)
	}
	if err := cancelled(ctx); err != nil {
		return notSent(err, false)
	}
	if !permit.spend() {
		return notSent(ErrPermitUsed, false)
	}
	run.Request.Key = permit.key.String()
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(d.options.ServiceStallTimeout, func() { cancel(errStalled) })
	defer watch.stop()
	if run.Request.Length != 0 && run.Request.Body != nil {
		run.Request.Body = watchedReader{reader: run.Request.Body, watch: watch}
	}
	started := time.Now()
	response, err := service.Call(callCtx, run.Request)
	if errors.Is(err, endpoint.ErrNotDispatched) {
		return notSent(err, cancelled(ctx) == nil)
	}
	use := capacity.Result{Dispatched: true, FirstToken: time.Since(started)}
	if err == nil {
		err = copyResponse(ctx, response, run.Buffer, watch)
	}
	use.Total = time.Since(started)
	return serviceResult(ctx, use, err)
}

func serviceResult(ctx context.Context, use capacity.Result, err error) Result {
	if err == nil {
		use.Complete = true
		return Result{Usage: use}
	}
	if cause := cancelled(ctx); cause != nil {
		err = cause
	}
	end := endOf(err)
	use.Crashed = end.Code == answer.CodeBroken
	return Result{End: end, Usage: use}
}

func copyResponse(ctx context.Context, response endpoint.ServiceResponse, buffer *answer.Buffer, watch *watchdog) error {
	defer response.Body.Close()
	buffer.SetHead(answer.Head{Status: response.Status, Header: response.Header})
	for {
		data := make([]byte, bodyChunk)
		watch.start()
		n, err := response.Body.Read(data)
		watch.stop()
		if n > 0 {
			if err := buffer.Append(ctx, buffer.Next(), trimmed(data, n)); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// trimmed returns the first n bytes, copied when most of the array would be
// held for nothing.
func trimmed(data []byte, n int) []byte {
	if n >= len(data)/2 {
		return data[:n]
	}
	return append([]byte(nil), data[:n]...)
}
