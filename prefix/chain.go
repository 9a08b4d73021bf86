// Package prefix identifies prefixes of prompts by chained block hashes. A prompt is divided into blocks of a fixed
// number of bytes; the hash of a block covers the model and all blocks before it, so that two prompts share exactly
// the leading hashes of their common prefix. Engines identify the entries of their prompt caches by these hashes, and
// routing uses them to find the engine that has cached the longest prefix of a prompt.
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
	// BlockTokens is the estimated number of tokens in a block.
	BlockTokens = BlockBytes / BytesPerToken
)

// Terminators of a role and of a message, which make the boundaries part of the hash.
const (
	endOfRole    = "\n"
	endOfMessage = "\x00"
)

// Chain computes the block hashes of a growing conversation. The zero value is not usable. A Chain must not be used
// concurrently.
type Chain struct {
	digest       xxhash.Digest
	bytesInBlock int
	totalBytes   int
	blocks       []uint64
}

// NewChain returns a chain for an empty conversation with the model.
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

// Blocks returns the hashes of the complete blocks so far, the shortest prefix first. The slice must not be modified and
// remains valid after further messages.
func (c *Chain) Blocks() []uint64 { return slices.Clip(c.blocks) }

// Tokens estimates the number of tokens so far.
func (c *Chain) Tokens() int { return Tokens(c.totalBytes) }

// Sum returns the hash of the whole conversation so far, including an incomplete last block.
func (c *Chain) Sum() uint64 { return c.digest.Sum64() }

func (c *Chain) write(s string) {
	c.totalBytes += len(s)
	for len(s) > 0 {
		n := min(len(s), BlockBytes-c.bytesInBlock)
		_, _ = c.digest.WriteString(s[:n])
		c.bytesInBlock += n
		s = s[n:]
		if c.bytesInBlock == BlockBytes {
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
	c.bytesInBlock = 0
}

// Tokens estimates the number of tokens in a text of the given number of bytes.
func Tokens(bytes int) int {
	return (bytes + BytesPerToken - 1) / BytesPerToken
}
