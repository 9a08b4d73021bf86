package answer

// MaxBatchBytes is the maximum size of a batch's data. A single larger chunk forms a batch of its
// own.
const MaxBatchBytes = 64 << 10

// Position is a reader's progress through an answer.
type Position struct {
	// From is the sequence number of the next chunk to read.
	From uint64 `cbor:"1,keyasint"`
	// NeedHead requests the head as soon as it is available.
	NeedHead bool `cbor:"2,keyasint,omitempty"`
}

// Batch is the result of one read: all the chunks available at the time, up to MaxBatchBytes, so
// that a slow reader catches up in few reads.
type Batch struct {
	// Head is set if the position requested it and it is available.
	Head   *Head   `cbor:"1,keyasint,omitempty"`
	Chunks []Chunk `cbor:"2,keyasint,omitempty"`
	// End is set when Chunks reach the end of the answer.
	End *End `cbor:"3,keyasint,omitempty"`
}

// Advance returns the position after the batch.
func (p Position) Advance(batch Batch) Position {
	if n := len(batch.Chunks); n > 0 {
		p.From = batch.Chunks[n-1].Sequence + 1
	}
	p.NeedHead = p.NeedHead && batch.Head == nil
	return p
}
