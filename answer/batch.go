package answer

// MaxBatchBytes bounds the data of one batch, unless a single chunk is larger.
const MaxBatchBytes = 64 << 10

// Position is how far a reader has come.
type Position struct {
	// From is the sequence of the next chunk wanted.
	From uint64 `cbor:"1,keyasint"`
	// NeedHead asks for the head, as soon as there is one.
	NeedHead bool `cbor:"2,keyasint,omitempty"`
}

// Batch is what a reader gets at once: chunks that were there already, so that
// a reader that falls behind catches up in few steps.
type Batch struct {
	// Head is set if the position asked for it and there is one.
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
