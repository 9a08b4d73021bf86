package document

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// maxPartsAsked bounds the hashes in one request for parts.
const maxPartsAsked = 256

// handlePeers registers the peer methods.
func (s *Service) handlePeers() {
	peer.Handle(s.options.Transport, methodAnnounce, s.serveAnnouncement)
	peer.Handle(s.options.Transport, methodOffer, s.serveAnnouncement)
	peer.Handle(s.options.Transport, methodDigest, s.serveDigest)
	peer.Handle(s.options.Transport, methodPull, s.servePull)
	peer.Handle(s.options.Transport, methodParts, s.serveParts)
	peer.Handle(s.options.Transport, methodStatus, s.serveStatus)
	peer.Handle(s.options.Transport, methodCentre, s.serveCentre)
}

func (s *Service) serveAnnouncement(_ context.Context, from domain.Member, a announcement) (struct{}, error) {
	r, err := s.replica(a.Name)
	if err == nil {
		r.offer(hint{stamp: a.Stamp, from: from, root: a.Root})
	}
	return struct{}{}, err
}

func (s *Service) serveDigest(_ context.Context, _ domain.Member, request digestRequest) (digestReply, error) {
	stamps := s.stamps()
	if request.Sum != 0 && request.Sum == sumOf(stamps) {
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
	if request.Good {
		h = r.inForce.Load()
	}
	if h == nil || (!request.Good && !h.version.After(request.Base)) {
		return pullReply{}, nil
	}
	return r.pullReply(h, request.Base), nil
}

// pullReply tells a version as a difference to the base, if this node still
// knows it, with the first page of new parts.
func (r *replica) pullReply(h *held, base Stamp) pullReply {
	reply := pullReply{Version: h.version}
	baseHashes, known := r.manifest(base)
	if known {
		reply.Base = base
	}
	reply.Runs = diffManifests(baseHashes, h.content.hashes)
	room := r.service.options.PageBytes
	for _, run := range reply.Runs {
		for _, name := range run.New {
			part, _ := h.part(name)
			room -= len(part)
			if room < 0 && len(reply.Parts) > 0 {
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
	room := s.options.PageBytes
	for _, name := range firstOf(request.Hashes, maxPartsAsked) {
		part := findPart(name, r.latest.Load(), r.inForce.Load())
		room -= len(part)
		if part == nil || (room < 0 && len(reply.Parts) > 0) {
			break
		}
		reply.Parts = append(reply.Parts, part)
	}
	return reply, nil
}

func (s *Service) serveStatus(context.Context, domain.Member, statusRequest) (statusReply, error) {
	return statusReply{Conditions: s.Conditions(), Uptime: time.Since(s.started)}, nil
}
