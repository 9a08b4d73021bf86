package answer

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"sync"
	"weak"

	"github.com/fxamacker/cbor/v2"
)

// packed is a finished answer as the cache holds it: compressed, since the events
// of a model's stream repeat each other. See docs/design/answers.md for figures.
type packed struct {
	head   *Head
	end    End
	data   []byte
	mu     sync.Mutex
	opened weak.Pointer[Buffer]
}

// packerCount bounds the answers being compressed at a time. Nobody waits for it.
const packerCount = 2

// packers are kept, as each takes far more memory than an answer. A pool would
// give them to the garbage collector and make them again and again.
var packers = func() chan *flate.Writer {
	writers := make(chan *flate.Writer, packerCount)
	for range packerCount {
		// The level is a valid constant.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		writers <- w
	}
	return writers
}()

// pack compresses an ended buffer that is whole.
func pack(b *Buffer) (*packed, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil || b.first() != 0 {
		return nil, ErrTruncated
	}
	var out bytes.Buffer
	w := <-packers
	defer func() { packers <- w }()
	w.Reset(&out)
	if err := cbor.NewEncoder(w).Encode(b.chunks); err != nil {
		return nil, fmt.Errorf("answer: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("answer: pack: %w", err)
	}
	return &packed{head: b.head, end: *b.end, data: bytes.Clone(out.Bytes())}, nil
}

// bytes returns the memory held.
func (p *packed) bytes() int { return len(p.data) + entryOverhead }

// open returns the answer as a buffer. Readers at the same time share one, which
// the garbage collector takes when they are done.
func (p *packed) open() (*Buffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if buffer := p.opened.Value(); buffer != nil {
		return buffer, nil
	}
	buffer, err := p.unpack()
	if err != nil {
		return nil, err
	}
	p.opened = weak.Make(buffer)
	return buffer, nil
}

func (p *packed) unpack() (*Buffer, error) {
	r := flate.NewReader(bytes.NewReader(p.data))
	defer r.Close()
	var chunks []Chunk
	if err := cbor.NewDecoder(r).Decode(&chunks); err != nil {
		return nil, fmt.Errorf("answer: unpack: %w", err)
	}
	buffer := NewBuffer(1 << 62)
	buffer.head = p.head
	for _, chunk := range chunks {
		// Without a bound to meet, and in order, this can't fail.
		_ = buffer.Append(context.Background(), chunk.Sequence, chunk.Data)
	}
	buffer.End(p.end)
	return buffer, nil
}
