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

// compressedAnswer is a finished answer in the cache. The events of a model's stream are repetitive
// and compress well; see docs/design/answers.md for figures.
type compressedAnswer struct {
	head   *Head
	end    End
	data   []byte
	mu     sync.Mutex
	shared weak.Pointer[Buffer]
}

// maxCompressors limits the number of concurrent compressions, which no caller waits for.
const maxCompressors = 2

// compressors is a fixed set of writers, each of which takes far more memory than an answer. With a
// sync.Pool, the garbage collector would free them and they would be allocated again and again.
var compressors = func() chan *flate.Writer {
	writers := make(chan *flate.Writer, maxCompressors)
	for range maxCompressors {
		// The error is nil for a valid compression level.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		writers <- w
	}
	return writers
}()

// compress returns the compressed answer of a buffer that has ended and is not truncated.
func compress(b *Buffer) (*compressedAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil || b.first() != 0 {
		return nil, ErrTruncated
	}
	var out bytes.Buffer
	w := <-compressors
	defer func() { compressors <- w }()
	w.Reset(&out)
	if err := cbor.NewEncoder(w).Encode(b.chunks); err != nil {
		return nil, fmt.Errorf("answer: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("answer: compress: %w", err)
	}
	return &compressedAnswer{head: b.head, end: *b.end, data: bytes.Clone(out.Bytes())}, nil
}

// bytes returns the memory taken.
func (c *compressedAnswer) bytes() int { return len(c.data) + entryOverheadBytes }

// open returns the answer as a buffer. Concurrent readers share one buffer, which is garbage
// collected when they are done.
func (c *compressedAnswer) open() (*Buffer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if buffer := c.shared.Value(); buffer != nil {
		return buffer, nil
	}
	buffer, err := c.decompress()
	if err != nil {
		return nil, err
	}
	c.shared = weak.Make(buffer)
	return buffer, nil
}

func (c *compressedAnswer) decompress() (*Buffer, error) {
	r := flate.NewReader(bytes.NewReader(c.data))
	defer r.Close()
	var chunks []Chunk
	if err := cbor.NewDecoder(r).Decode(&chunks); err != nil {
		return nil, fmt.Errorf("answer: decompress: %w", err)
	}
	buffer := NewBuffer(1 << 62)
	buffer.head = c.head
	for _, chunk := range chunks {
		// Chunks are in order and the buffer is large enough, so this can't fail.
		_ = buffer.Append(context.Background(), chunk.Sequence, chunk.Data)
	}
	buffer.End(c.end)
	return buffer, nil
}
