package document

import (
	"fmt"
	"slices"
	"sync"
)

// content is an immutable value with the hashes of its parts.
type content struct {
	parts  [][]byte
	hashes []Hash
	// root is the hash of the manifest and identifies the whole content.
	root Hash
	size int

	indexOnce sync.Once
	indexMap  map[Hash]int
}

// newContent hashes the parts of a value and drops empty ones.
func newContent(v Value) *content {
	var parts [][]byte
	var hashes []Hash
	for _, part := range v.Parts {
		if len(part) == 0 {
			continue
		}
		parts = append(parts, part)
		hashes = append(hashes, hashOf(part))
	}
	return newContentFromParts(parts, hashes)
}

// newContentFromParts builds a content from parts whose hashes are already known.
func newContentFromParts(parts [][]byte, hashes []Hash) *content {
	c := &content{parts: parts, hashes: hashes, root: hashOf(encodeManifest(hashes))}
	for _, part := range parts {
		c.size += len(part)
	}
	return c
}

func (c *content) value() Value { return Value{Parts: c.parts} }

// part returns the part with the given hash.
func (c *content) part(h Hash) ([]byte, bool) {
	if c == nil {
		return nil, false
	}
	c.indexOnce.Do(c.buildIndex)
	i, ok := c.indexMap[h]
	if !ok {
		return nil, false
	}
	return c.parts[i], true
}

func (c *content) buildIndex() {
	c.indexMap = make(map[Hash]int, len(c.hashes))
	for i, h := range c.hashes {
		c.indexMap[h] = i
	}
}

// encodeManifest concatenates the hashes of a content's parts.
func encodeManifest(hashes []Hash) []byte {
	manifest := make([]byte, 0, len(hashes)*len(Hash{}))
	for _, h := range hashes {
		manifest = append(manifest, h[:]...)
	}
	return manifest
}

// decodeManifest decodes a manifest after verifying it against its hash.
func decodeManifest(manifest []byte, root Hash) ([]Hash, error) {
	if len(manifest)%len(Hash{}) != 0 || hashOf(manifest) != root {
		return nil, fmt.Errorf("%w: manifest", errCorrupt)
	}
	var hashes []Hash
	for raw := range slices.Chunk(manifest, len(Hash{})) {
		hashes = append(hashes, Hash(raw))
	}
	return hashes, nil
}
