package direct

import (
	"encoding/json"
	"slices"
	"time"

	"jackdawswitch/streamorigin"
)

// maxVersionsBytes bounds the versions in a router record, as they are encoded.
const maxVersionsBytes = 4 << 10

// recordedVersion is a version of a service in a router record.
type recordedVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// GoneMS is the table service's time at which the version was last listed, 0 if it is.
	GoneMS int64 `json:"goneMs,omitempty"`
}

// merge adds the versions in the record of another router, or of this VM's predecessor. The
// times in a record of another era than the present one count as now, since the clocks of two eras
// aren't related.
func (s *streamOrigins) merge(era uint64, nowMS int64, record routerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lastNamed := ""
	for _, v := range record.Versions {
		if v.Service == "" || len(v.Service) > maxOriginTextBytes || len(v.Version) > maxOriginTextBytes {
			continue
		}
		var ago time.Duration
		if v.GoneMS > 0 && record.Era.Era == era {
			ago = time.Duration(nowMS-v.GoneMS) * time.Millisecond
		}
		origin := streamorigin.Origin{Service: v.Service, Version: v.Version}
		s.heardVersion(now, origin, ago)
		s.versions.MarkRecorded(origin)
		lastNamed = v.Service
	}
	if record.VersionsInPart {
		s.versions.HeardInPart(now, lastNamed)
	}
}

// published returns the versions for the router record, whether there are more, and the change
// that they include.
func (s *streamOrigins) published(nowMS int64) (versions []recordedVersion, inPart bool, change uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, v := range s.versions.All(time.Now()) {
		out := recordedVersion{Service: v.Service, Version: v.Version}
		if !v.Listed {
			out.GoneMS = max(nowMS-v.GoneFor.Milliseconds(), 1)
		}
		encoded, err := json.Marshal(out)
		if size += len(encoded) + 1; err != nil || size > maxVersionsBytes {
			// A service is named with all its versions or not at all.
			versions = slices.DeleteFunc(versions, func(named recordedVersion) bool { return named.Service == v.Service })
			return versions, true, s.versions.Change()
		}
		versions = append(versions, out)
	}
	return versions, false, s.versions.Change()
}

// unsaved reports whether the stored router record lacks a change of the versions.
func (s *streamOrigins) unsaved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.savedChange != s.versions.Change()
}

// markSaved records that versions have been stored as of a change, and where in the table.
func (s *streamOrigins) markSaved(versions []recordedVersion, change uint64, at tablePosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.savedChange = change
	for _, v := range versions {
		s.versions.MarkRecorded(streamorigin.Origin{Service: v.Service, Version: v.Version})
	}
	s.history.recordWritten(at)
}
