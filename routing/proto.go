package routing

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// ReportFromProto converts an agent's report. serviceID is the service of the endpoint.
func ReportFromProto(req *pb.ReportRequest, serviceID string) Report {
	load := req.GetLoad()
	r := Report{
		Endpoint:      req.GetEndpoint(),
		VM:            req.GetFrom().GetVm(),
		Incarnation:   req.GetFrom().GetIncarnation(),
		Address:       req.GetAddress(),
		Service:       serviceID,
		FailureDomain: req.GetFailureDomain(),
		Region:        req.GetRegion(),
		Leaving:       req.GetLeaving(),
		Load: Load{
			Running:           int(load.GetRunning()),
			Queued:            int(load.GetQueued()),
			Slots:             int(load.GetSlots()),
			QueuedTokens:      load.GetQueuedTokens(),
			TimeToFirstToken:  time.Duration(load.GetFirstTokenUs()) * time.Microsecond,
			InterTokenLatency: time.Duration(load.GetInterTokenUs()) * time.Microsecond,
			Models:            load.GetModels(),
			Age:               time.Duration(load.GetAgeMs()) * time.Millisecond,
			Sequence:          load.GetSequence(),
		},
	}
	for _, event := range load.GetPrefixes() {
		r.Load.Prefixes = append(r.Load.Prefixes, PrefixEvent{
			Hash:     event.GetHash(),
			Evicted:  event.GetEvicted(),
			Sequence: event.GetSequence(),
		})
	}
	return r
}
