package home

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

const (
	// adoptedKept bounds the hand-overs remembered.
	adoptedKept = 1024
	// openingWait bounds how long a hand-over waits for requests that are
	// being opened.
	openingWait   = 2 * time.Second
	openingPoll   = 20 * time.Millisecond
	handOverRetry = 200 * time.Millisecond
)

// Next returns the address of the process that is a partition's home once this
// one has left.
type Next func(p *pb.Partition) (address string, ok bool)

// HandOverReport says what a hand-over moved.
type HandOverReport struct {
	Partitions int
	Keys       int
	Grants     int
	// Refused is the number of partitions no process took before ctx ended.
	Refused int
}

// HandOverAll moves all partitions to their next homes. A partition is not served
// here from the moment its contents are copied, also when no process takes
// them: what was sent may have been adopted though the answer was lost. The
// grants of a workspace leave with its last partition, since all its
// partitions here spend them.
func (s *Server) HandOverAll(ctx context.Context, next Next) HandOverReport {
	var report HandOverReport
	serial := 0
	destinations := s.destinations(next)
	for _, address := range slices.Sorted(maps.Keys(destinations)) {
		list := destinations[address]
		serial++
		req := s.freeze(ctx, address, list)
		req.Id = s.claims.prefix + ".handover." + strconv.Itoa(serial)
		if !s.send(ctx, address, req) {
			report.Refused += len(list)
			s.takeBack(req)
			continue
		}
		report.Partitions += len(list)
		for _, record := range req.GetPartitions() {
			report.Keys += len(record.GetKeys())
			report.Grants += len(record.GetGrants())
		}
	}
	s.opts.Logger.Info("partitions handed over", "partitions", report.Partitions,
		"keys", report.Keys, "grants", report.Grants, "refused", report.Refused)
	return report
}

// takeBack returns the grants of a hand-over that nobody confirmed to the credit
// service, which settles them as long as their rows still name this process.
func (s *Server) takeBack(req *pb.HandOverRequest) {
	for _, record := range req.GetPartitions() {
		s.opts.Credit.Import(record.GetGrants())
	}
}

// destinations groups the partitions this process serves by their next home.
func (s *Server) destinations(next Next) map[string][]partition {
	out := make(map[string][]partition)
	for _, p := range s.served() {
		address, ok := next(p.proto())
		if ok {
			out[address] = append(out[address], p)
		}
	}
	return out
}

// served lists the partitions of the configuration and of the key table.
func (s *Server) served() []partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.staleLocked(partition{})
	delete(all, partition{})
	for _, held := range s.table.Partitions() {
		all[partition{workspace: held.Workspace, index: held.Index}] = true
	}
	for p, state := range s.partitions {
		if state.ready {
			all[p] = true
		}
	}
	out := make([]partition, 0, len(all))
	for p := range all {
		if !s.movedLocked(p) {
			out = append(out, p)
		}
	}
	return out
}

// freeze stops serving the partitions and copies their contents.
func (s *Server) freeze(ctx context.Context, address string, list []partition) *pb.HandOverRequest {
	s.mu.Lock()
	for _, p := range list {
		state := s.partitionLocked(p)
		state.moved = address
		state.leave()
	}
	s.mu.Unlock()
	s.waitOpened(ctx, list)
	staying := s.servedWorkspaces()
	req := &pb.HandOverRequest{From: s.opts.Self}
	for _, p := range list {
		s.mu.Lock()
		record := &pb.PartitionRecord{
			Partition: p.proto(),
			Keys:      s.table.Export(p.workspace, p.index),
			Ready:     s.partitionLocked(p).ready,
		}
		s.mu.Unlock()
		if !staying[p.workspace] {
			record.Grants = s.opts.Credit.Export([]*pb.Partition{p.proto()})
		}
		req.Partitions = append(req.Partitions, record)
	}
	return req
}

// servedWorkspaces are those with a partition that is served here.
func (s *Server) servedWorkspaces() map[string]bool {
	out := make(map[string]bool)
	for _, p := range s.served() {
		out[p.workspace] = true
	}
	return out
}

func (s *Server) waitOpened(ctx context.Context, list []partition) {
	limit := time.Now().Add(openingWait)
	for s.anyOpening(list) && time.Now().Before(limit) && ctx.Err() == nil {
		pause(ctx, openingPoll)
	}
}

func (s *Server) anyOpening(list []partition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(list, func(p partition) bool { return s.opening[p] > 0 })
}

// send offers the contents until they are adopted or ctx ends. A receiver that
// is not ready refuses, and adopts a later offer of the same id.
func (s *Server) send(ctx context.Context, address string, req *pb.HandOverRequest) bool {
	for ctx.Err() == nil {
		res, err := s.opts.Peers.HandOver(ctx, address, req)
		if err == nil && res.GetAdopted() {
			return true
		}
		pause(ctx, handOverRetry)
	}
	return false
}

// HandOver implements pb.DRPCHomeServer: it is the receiving side. It adopts
// nothing until this process holds a configuration and agrees that it is home.
func (s *Server) HandOver(_ context.Context, msg *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	return &pb.HandOverResponse{Adopted: s.adopt(msg)}, nil
}

func (s *Server) adopt(msg *pb.HandOverRequest) bool {
	if doc, _ := s.opts.Config(); doc == nil {
		return false
	}
	for _, record := range msg.GetPartitions() {
		if ok, _, _ := s.opts.Members.IsHome(record.GetPartition()); !ok {
			return false
		}
	}
	s.mu.Lock()
	if slices.Contains(s.adopted, msg.GetId()) {
		s.mu.Unlock()
		return true
	}
	s.adopted = append(s.adopted, msg.GetId())
	if len(s.adopted) > adoptedKept {
		s.adopted = slices.Delete(s.adopted, 0, len(s.adopted)-adoptedKept)
	}
	s.mu.Unlock()
	for _, record := range msg.GetPartitions() {
		s.opts.Credit.Import(record.GetGrants())
	}
	for _, record := range msg.GetPartitions() {
		s.adoptPartition(record)
	}
	return true
}

// adoptPartition takes over a partition's keys, once its grants can be settled.
func (s *Server) adoptPartition(record *pb.PartitionRecord) {
	p := partitionOf(record.GetPartition())
	s.mu.Lock()
	effects := s.table.Import(time.Now(), p.workspace, p.index, record.GetKeys())
	state := s.partitionLocked(p)
	if state.moved != "" {
		state.moved = ""
		state.leaving, state.leave = context.WithCancel(context.Background())
	}
	state.ready = state.ready || record.GetReady()
	s.mu.Unlock()
	for _, effect := range effects {
		s.apply(effect)
	}
}
