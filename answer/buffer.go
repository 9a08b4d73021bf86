package answer

import (
	"context"
	"fmt"
	"sync"
)

// DefaultBufferBytes is how many bytes of an answer a buffer holds by default.
const DefaultBufferBytes = 4 << 20

// chunkOverhead is the memory a held chunk costs besides its data, in bytes.
const chunkOverhead = 48

// Buffer is one answer. It has one writer and any number of readers, each of
// which sees every chunk from its position on, in order, and then the end.
//
// A buffer holds at most its bound in bytes. Beyond it the front is dropped, but
// only what some reader has already got; as long as there is nothing such, the
// writer waits. A reader that asks for a dropped chunk gets ErrTruncated, so
// that nobody takes a part for the whole.
type Buffer struct {
	// ReaderTracker counts the readers.
	Readers ReaderTracker

	bound int

	mu        sync.Mutex
	chunks    []Chunk
	next      uint64
	bytes     int
	delivered uint64
	head      *Head
	end       *End
	endRead   bool
	grown     chan struct{}
	room      chan struct{}
}

// NewBuffer returns an empty buffer that holds at most bound bytes; zero means
// DefaultBufferBytes.
func NewBuffer(bound int) *Buffer {
	if bound <= 0 {
		bound = DefaultBufferBytes
	}
	return &Buffer{bound: bound}
}

// SetHead sets the head of a plain response. Only the first call counts.
func (b *Buffer) SetHead(head Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head != nil || b.end != nil {
		return
	}
	b.head = &head
	b.signal(&b.grown)
}

// Append adds the next chunk and keeps data. It waits while the buffer is full
// of what nobody has read, until ctx ends. It returns ErrGap if sequence is not
// Next, and ErrEnded after the end.
func (b *Buffer) Append(ctx context.Context, sequence uint64, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if err := b.admissible(sequence); err != nil {
			return err
		}
		if b.makeRoom(len(data) + chunkOverhead) {
			break
		}
		if err := b.wait(ctx, &b.room); err != nil {
			return err
		}
	}
	b.chunks = append(b.chunks, Chunk{Sequence: sequence, Data: data})
	b.bytes += len(data) + chunkOverhead
	b.next++
	b.signal(&b.grown)
	return nil
}

// End ends the answer. Only the first call counts; it returns false otherwise.
func (b *Buffer) End(end End) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return false
	}
	b.end = &end
	b.signal(&b.grown)
	b.signal(&b.room)
	return true
}

// Read returns what there is from the position on, and waits when there is
// nothing, until ctx ends. It returns ErrTruncated if the position lies before
// what is held. Asking for a position says that all before it has been
// delivered to this reader.
func (b *Buffer) Read(ctx context.Context, position Position) (Batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteDelivered(position.From)
	for {
		batch, ready, err := b.take(position)
		if ready || err != nil {
			return batch, err
		}
		if err := b.wait(ctx, &b.grown); err != nil {
			return Batch{}, err
		}
	}
}

// Next returns the sequence of the next chunk to be appended.
func (b *Buffer) Next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// Bytes returns the memory held, in bytes.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Whole reports whether the answer can still be read from its start.
func (b *Buffer) Untruncated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first() == 0
}

// Ended returns the end, or false while there is none.
func (b *Buffer) Ended() (End, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		return End{}, false
	}
	return *b.end, true
}

// EndDelivered reports whether some reader has got the end.
func (b *Buffer) EndDelivered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endRead
}

func (b *Buffer) first() uint64 { return b.next - uint64(len(b.chunks)) }

func (b *Buffer) admissible(sequence uint64) error {
	if b.end != nil {
		return ErrEnded
	}
	if sequence != b.next {
		return fmt.Errorf("%w: got %d, want %d", ErrGap, sequence, b.next)
	}
	return nil
}

// makeRoom drops delivered chunks from the front until need bytes fit, and
// reports whether they do. A chunk always fits into an empty buffer.
func (b *Buffer) makeRoom(need int) bool {
	if b.bytes+need <= b.bound || len(b.chunks) == 0 {
		return true
	}
	drop := 0
	freed := 0
	// Half the bound is freed at once, so that the copy below is rare.
	for drop < len(b.chunks) && b.chunks[drop].Sequence < b.delivered && freed < max(need, b.bound/2) {
		freed += len(b.chunks[drop].Data) + chunkOverhead
		drop++
	}
	if drop == 0 {
		return false
	}
	// Readers may still hold the old array: it is left as it is.
	b.chunks = append([]Chunk(nil), b.chunks[drop:]...)
	b.bytes -= freed
	return b.bytes+need <= b.bound || len(b.chunks) == 0
}

func (b *Buffer) noteDelivered(from uint64) {
	if from <= b.delivered || from > b.next {
		return
	}
	b.delivered = from
	b.signal(&b.room)
}

func (b *Buffer) take(position Position) (Batch, bool, error) {
	var batch Batch
	if position.From < b.first() {
		return batch, false, ErrTruncated
	}
	if position.NeedHead {
		batch.Head = b.head
	}
	batch.Chunks = b.held(position.From)
	last := position.From + uint64(len(batch.Chunks))
	if b.end != nil && last >= b.next {
		batch.End = b.end
		b.endRead = true
	}
	ready := batch.Head != nil || len(batch.Chunks) > 0 || batch.End != nil
	return batch, ready, nil
}

// held returns the chunks from a sequence on, up to a batch. The result shares
// the array, whose filled part never changes.
func (b *Buffer) held(from uint64) []Chunk {
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

// wait releases the lock until the signal is given or ctx ends.
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

// signal wakes those who wait; it costs nothing when there are none.
func (b *Buffer) signal(signal *chan struct{}) {
	if *signal == nil {
		return
	}
	close(*signal)
	*signal = nil
}
