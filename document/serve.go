package document

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// maxRequestedParts limits the hashes in one request for parts.
const maxRequestedParts = 256

func (s *Service) registerHandlers() {
	peer.Handle(s.options.Transport, methodAnnounce, s.serveAnnouncement)
	peer.Handle(s.options.Transport, methodOffer, s.serveAnnouncement)
	peer.Handle(s.options.Transport, methodDigest, s.serveDigest)
	peer.Handle(s.options.Transport, methodPull, s.servePull)
	peer.Handle(s.options.Transport, methodParts, s.serveParts)
	peer.Handle(s.options.Transport, methodStatus, s.serveStatus)
	peer.Handle(s.options.Transport, methodDataCentreStatus, s.serveDataCentreStatus)
}

func (s *Service) serveAnnouncement(_ context.Context, from domain.Member, a announcement) (struct{}, error) {
	r, err := s.replica(a.Name)
	if err == nil {
		r.enqueueHint(hint{stamp: a.Stamp, from: from, treeRoot: a.TreeRoot})
	}
	return struct{}{}, err
}

func (s *Service) serveDigest(_ context.Context, _ domain.Member, request digestRequest) (digestReply, error) {
	stamps := s.stamps()
	if request.Sum != 0 && request.Sum == hashStamps(stamps) {
		return digestReply{}, nil
	}
	return digestReply{Stamps: stamps}, nil
}

func (s *Service) servePull(_ context.Context, _ domain.Member, request pullRequest) (pullReply, error) {
	r, err := s.replica(request.Name)
	if err != nil {
		return pullReply{}, err
	}
	h := r.latest.Load()
	if request.InForce {
		h = r.inForce.Load()
	}
	if h == nil || (!request.InForce && !h.version.After(request.Base)) {
		return pullReply{}, nil
	}
	return r.pullReply(h, request.Base), nil
}

// pullReply encodes a version as a delta to the base, if this node still has the
// manifest of the base, with the first page of new parts.
func (r *replica) pullReply(h *loadedVersion, base Stamp) pullReply {
	reply := pullReply{Version: h.version}
	baseHashes, known := r.manifest(base)
	if known {
		reply.Base = base
	}
	reply.Runs = diffManifests(baseHashes, h.content.hashes)
	remainingBytes := r.service.options.PageBytes
	for _, run := range reply.Runs {
		for _, hash := range run.New {
			part, _ := h.part(hash)
			remainingBytes -= len(part)
			if remainingBytes < 0 && len(reply.Parts) > 0 {
				return reply
			}
			reply.Parts = append(reply.Parts, part)
		}
	}
	return reply
}

func (s *Service) serveParts(_ context.Context, _ domain.Member, request partsRequest) (partsReply, error) {
	r, err := s.replica(request.Name)
	if err != nil {
		return partsReply{}, err
	}
	var reply partsReply
	remainingBytes := s.options.PageBytes
	for _, hash := range firstN(request.Hashes, maxRequestedParts) {
		part := findPart(hash, r.latest.Load(), r.inForce.Load())
		remainingBytes -= len(part)
		if part == nil || (remainingBytes < 0 && len(reply.Parts) > 0) {
			break
		}
		reply.Parts = append(reply.Parts, part)
	}
	return reply, nil
}

func (s *Service) serveStatus(context.Context, domain.Member, statusRequest) (statusReply, error) {
	return statusReply{Conditions: s.Conditions(), Uptime: time.Since(s.started)}, nil
}
