package answer

import (
	"context"
	"fmt"
	"sync"
)

// DefaultBufferBytes is the default limit on the size of a Buffer.
const DefaultBufferBytes = 4 << 20

// chunkOverheadBytes is the memory that a buffered chunk takes in addition to its data.
const chunkOverheadBytes = 48

// Buffer holds one answer. It has one writer and any number of readers, each of which receives
// every chunk from its position on, in order, followed by the end.
//
// A buffer holds at most maxBytes. When it is full, Append discards chunks from the front that some
// reader has already received; while there are none, it blocks. A reader that asks for a discarded
// chunk gets ErrTruncated, so that a partial answer is never mistaken for a complete one.
type Buffer struct {
	// Readers tracks the attached readers.
	Readers ReaderTracker

	maxBytes int

	mu             sync.Mutex
	chunks         []Chunk
	next           uint64
	bytes          int
	deliveredUpTo  uint64
	head           *Head
	end            *End
	endDelivered   bool
	dataAvailable  chan struct{}
	spaceAvailable chan struct{}
}

// NewBuffer returns an empty buffer of at most maxBytes; zero means DefaultBufferBytes.
func NewBuffer(maxBytes int) *Buffer {
	if maxBytes <= 0 {
		maxBytes = DefaultBufferBytes
	}
	return &Buffer{maxBytes: maxBytes}
}

// SetHead sets the head of a plain response. Only the first call has an effect.
func (b *Buffer) SetHead(head Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head != nil || b.end != nil {
		return
	}
	b.head = &head
	b.notify(&b.dataAvailable)
}

// Append adds the next chunk and takes ownership of data. While the buffer is full of chunks that
// no reader has received, it blocks until there is space or ctx ends. It returns ErrGap if sequence
// is not Next, and ErrEnded after the end.
func (b *Buffer) Append(ctx context.Context, sequence uint64, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if err := b.checkAppend(sequence); err != nil {
			return err
		}
		if b.makeRoom(len(data) + chunkOverheadBytes) {
			break
		}
		if err := b.wait(ctx, &b.spaceAvailable); err != nil {
			return err
		}
	}
	b.chunks = append(b.chunks, Chunk{Sequence: sequence, Data: data})
	b.bytes += len(data) + chunkOverheadBytes
	b.next++
	b.notify(&b.dataAvailable)
	return nil
}

// End ends the answer. Only the first call has an effect; later calls return false.
func (b *Buffer) End(end End) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return false
	}
	b.end = &end
	b.notify(&b.dataAvailable)
	b.notify(&b.spaceAvailable)
	return true
}

// Read returns the data available from the position on, and blocks while there is none, until ctx
// ends. It returns ErrTruncated if the position lies before the first chunk held. Reading from a
// position acknowledges the delivery of everything before it.
func (b *Buffer) Read(ctx context.Context, position Position) (Batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markDelivered(position.From)
	for {
		batch, ready, err := b.collect(position)
		if ready || err != nil {
			return batch, err
		}
		if err := b.wait(ctx, &b.dataAvailable); err != nil {
			return Batch{}, err
		}
	}
}

// Next returns the sequence number of the next chunk to be appended.
func (b *Buffer) Next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// Bytes returns the size of the buffered chunks, overhead included.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Untruncated reports whether the answer can still be read from its start.
func (b *Buffer) Untruncated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first() == 0
}

// Ended returns the end, or false if the answer has not ended.
func (b *Buffer) Ended() (End, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		return End{}, false
	}
	return *b.end, true
}

// EndDelivered reports whether at least one reader has received the end.
func (b *Buffer) EndDelivered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endDelivered
}

func (b *Buffer) first() uint64 { return b.next - uint64(len(b.chunks)) }

func (b *Buffer) checkAppend(sequence uint64) error {
	if b.end != nil {
		return ErrEnded
	}
	if sequence != b.next {
		return fmt.Errorf("%w: got %d, want %d", ErrGap, sequence, b.next)
	}
	return nil
}

// makeRoom discards delivered chunks from the front until need bytes fit, and reports whether they
// do. A chunk always fits into an empty buffer.
func (b *Buffer) makeRoom(need int) bool {
	if b.bytes+need <= b.maxBytes || len(b.chunks) == 0 {
		return true
	}
	drop := 0
	freed := 0
	// At least half the limit is freed at a time, so that the copy below is rare.
	for drop < len(b.chunks) && b.chunks[drop].Sequence < b.deliveredUpTo && freed < max(need, b.maxBytes/2) {
		freed += len(b.chunks[drop].Data) + chunkOverheadBytes
		drop++
	}
	if drop == 0 {
		return false
	}
	// Readers may still hold slices of the old array, so it is not modified.
	b.chunks = append([]Chunk(nil), b.chunks[drop:]...)
	b.bytes -= freed
	return b.bytes+need <= b.maxBytes || len(b.chunks) == 0
}

func (b *Buffer) markDelivered(from uint64) {
	if from <= b.deliveredUpTo || from > b.next {
		return
	}
	b.deliveredUpTo = from
	b.notify(&b.spaceAvailable)
}

func (b *Buffer) collect(position Position) (Batch, bool, error) {
	var batch Batch
	if position.From < b.first() {
		return batch, false, ErrTruncated
	}
	if position.NeedHead {
		batch.Head = b.head
	}
	batch.Chunks = b.chunksFrom(position.From)
	last := position.From + uint64(len(batch.Chunks))
	if b.end != nil && last >= b.next {
		batch.End = b.end
		b.endDelivered = true
	}
	ready := batch.Head != nil || len(batch.Chunks) > 0 || batch.End != nil
	return batch, ready, nil
}

// chunksFrom returns the chunks from a sequence number on, up to MaxBatchBytes. The result shares
// the underlying array, whose filled part never changes.
func (b *Buffer) chunksFrom(from uint64) []Chunk {
	if from >= b.next {
		return nil
	}
	start := int(from - b.first())
	stop := start
	for size := 0; stop < len(b.chunks); stop++ {
		size += len(b.chunks[stop].Data)
		if size > MaxBatchBytes && stop > start {
			break
		}
	}
	return b.chunks[start:stop:stop]
}

// wait releases the lock until signal is closed or ctx ends.
func (b *Buffer) wait(ctx context.Context, signal *chan struct{}) error {
	if *signal == nil {
		*signal = make(chan struct{})
	}
	c := *signal
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// notify wakes the goroutines that wait for signal. It allocates nothing if there are none.
func (b *Buffer) notify(signal *chan struct{}) {
	if *signal == nil {
		return
	}
	close(*signal)
	*signal = nil
}
