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
	// maxRememberedHandOvers limits the IDs kept to detect repeated hand-overs.
	maxRememberedHandOvers = 1024
	// openingTimeout limits how long a hand-over waits for requests that are
	// being opened.
	openingTimeout      = 2 * time.Second
	openingPollInterval = 20 * time.Millisecond
	handOverRetryDelay  = 200 * time.Millisecond
)

// NextHome returns the address of the process that becomes a partition's home
// when this one shuts down. Ok is false if there is none.
type NextHome func(p *pb.Partition) (address string, ok bool)

// HandOverReport counts what was handed over.
type HandOverReport struct {
	Partitions int
	Keys       int
	Grants     int
	// Unconfirmed is the number of partitions that no process confirmed to have
	// imported before ctx ended.
	Unconfirmed int
}

// HandOverAll hands all partitions over to their next homes, until ctx ends. A
// partition is no longer served here from the start of its export, even if no
// process confirms the import: the import may have succeeded although the
// response was lost. The grants of a workspace are handed over with its last
// partition, since all its partitions in this process spend them.
func (s *Server) HandOverAll(ctx context.Context, next NextHome) HandOverReport {
	var report HandOverReport
	serial := 0
	destinations := s.destinations(next)
	for _, address := range slices.Sorted(maps.Keys(destinations)) {
		list := destinations[address]
		serial++
		req := s.stopAndExport(ctx, address, list)
		req.Id = s.claims.idPrefix + ".handover." + strconv.Itoa(serial)
		if !s.sendHandOver(ctx, address, req) {
			report.Unconfirmed += len(list)
			s.reimportGrants(req)
			continue
		}
		report.Partitions += len(list)
		for _, record := range req.GetPartitions() {
			report.Keys += len(record.GetKeys())
			report.Grants += len(record.GetGrants())
		}
	}
	s.opts.Logger.Info("partitions handed over", "partitions", report.Partitions,
		"keys", report.Keys, "grants", report.Grants, "refused", report.Unconfirmed)
	return report
}

// reimportGrants imports the grants of an unconfirmed hand-over into the credit
// service again, which settles them as long as their rows still name this
// process.
func (s *Server) reimportGrants(req *pb.HandOverRequest) {
	for _, record := range req.GetPartitions() {
		s.opts.Credit.Import(record.GetGrants())
	}
}

// destinations groups the partitions this process serves by their next home.
func (s *Server) destinations(next NextHome) map[string][]partition {
	out := make(map[string][]partition)
	for _, p := range s.servedPartitions() {
		address, ok := next(p.proto())
		if ok {
			out[address] = append(out[address], p)
		}
	}
	return out
}

// servedPartitions lists the partitions of the configuration and of the key
// table that this process serves.
func (s *Server) servedPartitions() []partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The result of incompleteLocked always includes its argument.
	all := s.incompleteLocked(partition{})
	delete(all, partition{})
	for _, held := range s.keyTable.Partitions() {
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

// stopAndExport stops serving the partitions and exports their keys and grants.
func (s *Server) stopAndExport(ctx context.Context, address string, list []partition) *pb.HandOverRequest {
	s.mu.Lock()
	for _, p := range list {
		state := s.partitionLocked(p)
		state.movedTo = address
		state.stopServing()
	}
	s.mu.Unlock()
	s.waitForOpening(ctx, list)
	stillServed := s.servedWorkspaces()
	req := &pb.HandOverRequest{From: s.opts.Self}
	for _, p := range list {
		s.mu.Lock()
		record := &pb.PartitionRecord{
			Partition: p.proto(),
			Keys:      s.keyTable.Export(p.workspace, p.index),
			Ready:     s.partitionLocked(p).ready,
		}
		s.mu.Unlock()
		if !stillServed[p.workspace] {
			record.Grants = s.opts.Credit.Export([]*pb.Partition{p.proto()})
		}
		req.Partitions = append(req.Partitions, record)
	}
	return req
}

// servedWorkspaces returns the workspaces with a partition that is served here.
func (s *Server) servedWorkspaces() map[string]bool {
	out := make(map[string]bool)
	for _, p := range s.servedPartitions() {
		out[p.workspace] = true
	}
	return out
}

// waitForOpening waits until no request of the partitions is being opened, for
// openingTimeout at most.
func (s *Server) waitForOpening(ctx context.Context, list []partition) {
	deadline := time.Now().Add(openingTimeout)
	for s.anyOpening(list) && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, openingPollInterval)
	}
}

func (s *Server) anyOpening(list []partition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(list, func(p partition) bool { return s.opening[p] > 0 })
}

// sendHandOver sends the hand-over until the receiver confirms the import or ctx
// ends. A receiver that is not ready refuses it, and imports it when it is sent
// again with the same ID.
func (s *Server) sendHandOver(ctx context.Context, address string, req *pb.HandOverRequest) bool {
	for ctx.Err() == nil {
		res, err := s.opts.Peers.HandOver(ctx, address, req)
		if err == nil && res.GetAdopted() {
			return true
		}
		sleep(ctx, handOverRetryDelay)
	}
	return false
}

// HandOver implements pb.DRPCHomeServer. It is the receiving side, and refuses
// the hand-over until this process has a configuration and its membership view
// says that it is the home of all partitions in it.
func (s *Server) HandOver(_ context.Context, msg *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	return &pb.HandOverResponse{Adopted: s.importHandOver(msg)}, nil
}

func (s *Server) importHandOver(msg *pb.HandOverRequest) bool {
	if doc, _ := s.opts.Config(); doc == nil {
		return false
	}
	for _, record := range msg.GetPartitions() {
		if ok, _, _ := s.opts.Members.IsHome(record.GetPartition()); !ok {
			return false
		}
	}
	s.mu.Lock()
	if slices.Contains(s.importedHandOvers, msg.GetId()) {
		s.mu.Unlock()
		return true
	}
	s.importedHandOvers = append(s.importedHandOvers, msg.GetId())
	if len(s.importedHandOvers) > maxRememberedHandOvers {
		s.importedHandOvers = slices.Delete(s.importedHandOvers, 0, len(s.importedHandOvers)-maxRememberedHandOvers)
	}
	s.mu.Unlock()
	for _, record := range msg.GetPartitions() {
		s.opts.Credit.Import(record.GetGrants())
	}
	for _, record := range msg.GetPartitions() {
		s.importPartition(record)
	}
	return true
}

// importPartition imports a partition's keys. The partition's grants have to be
// imported before, as importing keys can settle slots.
func (s *Server) importPartition(record *pb.PartitionRecord) {
	p := partitionOf(record.GetPartition())
	s.mu.Lock()
	effects := s.keyTable.Import(time.Now(), p.workspace, p.index, record.GetKeys())
	state := s.partitionLocked(p)
	if state.movedTo != "" {
		state.movedTo = ""
		state.servingCtx, state.stopServing = context.WithCancel(context.Background())
	}
	state.ready = state.ready || record.GetReady()
	s.mu.Unlock()
	for _, effect := range effects {
		s.applyEffect(effect)
	}
}
