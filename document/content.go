package document

import (
	"fmt"
	"slices"
	"sync"
)

// content is a value with the hashes of its parts. It is immutable.
type content struct {
	parts  [][]byte
	hashes []Hash
	// root is the hash of the manifest, which names the whole content.
	root Hash
	size int

	indexOnce sync.Once
	indexMap  map[Hash]int
}

// newContent hashes a value. Empty parts are left out.
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
	return contentOf(parts, hashes)
}

// contentOf builds a content of parts whose hashes are known.
func contentOf(parts [][]byte, hashes []Hash) *content {
	c := &content{parts: parts, hashes: hashes, root: hashOf(encodeManifest(hashes))}
	for _, part := range parts {
		c.size += len(part)
	}
	return c
}

// value returns the parts.
func (c *content) value() Value { return Value{Parts: c.parts} }

// part returns the part of a hash.
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

// encodeManifest lists the hashes of a content's parts.
func encodeManifest(hashes []Hash) []byte {
	manifest := make([]byte, 0, len(hashes)*len(Hash{}))
	for _, h := range hashes {
		manifest = append(manifest, h[:]...)
	}
	return manifest
}

// decodeManifest reads a manifest and checks it against its hash.
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
