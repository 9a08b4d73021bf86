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

// bodyChunkBytes is the maximum size of a chunk of a plain response's body.
const bodyChunkBytes = 32 << 10

// ServiceRun holds the parameters of a call to a plain service.
type ServiceRun struct {
	// Request is the call; RunService sets its Key. The body is read once, while it is sent.
	Request endpoint.ServiceRequest
	// Buffer receives the head and the body. The run does not end it.
	Buffer *answer.Buffer
}

// RunService uses up the permit, sends the call and copies the response into the buffer. A call is
// never sent twice, whether or not it is idempotent. The response is read at the speed at which the
// buffer accepts it.
func (d *Dispatcher) RunService(ctx context.Context, permit *Permit, run ServiceRun) Result {
	service, ok := d.endpoints.Service(permit.endpoint)
	if !ok {
		return notSent(ErrNoAdapter, true)
	}
	if err := cancelCause(ctx); err != nil {
		return notSent(err, false)
	}
	if !permit.use() {
		return notSent(ErrPermitUsed, false)
	}
	run.Request.Key = permit.key.String()
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(d.options.ServiceStallTimeout, func() { cancel(errStalled) })
	defer watch.stop()
	if run.Request.Length != 0 && run.Request.Body != nil {
		run.Request.Body = monitoredReader{reader: run.Request.Body, watchdog: watch}
	}
	started := time.Now()
	response, err := service.Call(callCtx, run.Request)
	if errors.Is(err, endpoint.ErrNotDispatched) {
		return notSent(err, cancelCause(ctx) == nil)
	}
	usage := capacity.Result{Dispatched: true, FirstToken: time.Since(started)}
	if err == nil {
		err = copyResponse(ctx, response, run.Buffer, watch)
	}
	usage.Total = time.Since(started)
	if err != nil {
		d.logBreak(ctx, permit.key, permit.endpoint, err)
	}
	return serviceResult(ctx, usage, err)
}

func serviceResult(ctx context.Context, usage capacity.Result, err error) Result {
	if err == nil {
		usage.Complete = true
		return Result{Usage: usage}
	}
	if cause := cancelCause(ctx); cause != nil {
		err = cause
	}
	end := endOf(err)
	usage.Crashed = end.Code == answer.CodeBroken
	return Result{End: end, Usage: usage}
}

func copyResponse(ctx context.Context, response endpoint.ServiceResponse, buffer *answer.Buffer, watch *watchdog) error {
	defer response.Body.Close()
	buffer.SetHead(answer.Head{Status: response.Status, Header: response.Header})
	for {
		data := make([]byte, bodyChunkBytes)
		watch.start()
		n, err := response.Body.Read(data)
		watch.stop()
		if n > 0 {
			if err := buffer.Append(ctx, buffer.Next(), trimBuffer(data, n)); err != nil {
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

// trimBuffer returns the first n bytes of data, copied if more than half of the array would be
// wasted.
func trimBuffer(data []byte, n int) []byte {
	if n >= len(data)/2 {
		return data[:n]
	}
	return append([]byte(nil), data[:n]...)
}
