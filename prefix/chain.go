// Package prefix names the beginnings of prompts. A prompt is cut into blocks of
// a fixed number of characters; the hash of a block covers the model and all
// blocks before it, so that two prompts share exactly the leading hashes whose
// text they share. Engines name the entries of their prompt caches so, and
// routing finds by it the engine that has most of a prompt.
package prefix

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block in bytes of UTF-8.
	BlockBytes = 256
	// BytesPerToken is the mean length of a token, used for estimates.
	BytesPerToken = 4
	// BlockTokens is the number of tokens that a block is taken for.
	BlockTokens = BlockBytes / BytesPerToken
)

// Ends of a role and of a message, which keep their borders in the hash.
const (
	endOfRole    = "\n"
	endOfMessage = "\x00"
)

// Chain computes the block hashes of a conversation that grows. The zero value
// is not usable; a Chain must not be used by two goroutines at a time.
type Chain struct {
	digest     xxhash.Digest
	inBlock    int
	characters int
	blocks     []uint64
}

// NewChain starts a conversation with the model.
func NewChain(model string) *Chain {
	c := &Chain{}
	c.startBlock(xxhash.Sum64String(model))
	return c
}

// Add appends a message.
func (c *Chain) Add(role, content string) {
	c.write(role)
	c.write(endOfRole)
	c.write(content)
	c.write(endOfMessage)
}

// Blocks returns the hashes of the full blocks so far, the shortest prefix
// first. The slice must not be changed and is valid after further messages.
func (c *Chain) Blocks() []uint64 { return slices.Clip(c.blocks) }

// Tokens estimates the number of tokens so far.
func (c *Chain) Tokens() int { return Tokens(c.characters) }

// Sum returns the hash of the whole conversation so far, the last part of a
// block included.
func (c *Chain) Sum() uint64 { return c.digest.Sum64() }

func (c *Chain) write(s string) {
	c.characters += len(s)
	for len(s) > 0 {
		n := min(len(s), BlockBytes-c.inBlock)
		_, _ = c.digest.WriteString(s[:n])
		c.inBlock += n
		s = s[n:]
		if c.inBlock == BlockBytes {
			c.endBlock()
		}
	}
}

func (c *Chain) endBlock() {
	hash := c.digest.Sum64()
	c.blocks = append(c.blocks, hash)
	c.startBlock(hash)
}

func (c *Chain) startBlock(previous uint64) {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	c.digest.Reset()
	_, _ = c.digest.Write(seed[:])
	c.inBlock = 0
}

// Tokens estimates the number of tokens in a text of so many bytes.
func Tokens(characters int) int {
	return (characters + BytesPerToken - 1) / BytesPerToken
}
