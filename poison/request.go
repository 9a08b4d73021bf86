package poison

import "slices"

// Request is what may be the cause of an endpoint's end: a part of the prompt, or the whole content.
type Request struct {
	Scope Scope
	// Prompt holds the hashes of the prompt's parts in order, none if the request has no prompt.
	Prompt []uint64
	// Content is a hash of the whole content, 0 if that is not known.
	Content uint64
}

// contentMark sets the hashes of contents apart from those of parts.
const contentMark = 0x9e3779b97f4a7c15

// suspects returns what may end an endpoint, in order of the hashes: the content and all parts of the prompt but the last, each once.
func (r *Request) suspects() []uint64 {
	var list []uint64
	if len(r.Prompt) > 1 {
		list = slices.Clone(r.Prompt[:min(len(r.Prompt)-1, maxParts)])
	}
	if r.Content != 0 {
		list = append(list, r.Content^contentMark)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
