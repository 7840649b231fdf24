package streamorigin

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxVersions bounds the versions that are kept of one service.
const maxVersions = 64

// ServiceVersion is a version of a service that was listed lately.
type ServiceVersion struct {
	Origin
	// Listed is set while the version is listed; else GoneFor is the time since it was.
	Listed  bool
	GoneFor time.Duration
}

// listedVersion is what Versions keeps of one version.
type listedVersion struct {
	// current is set while this router lists the version. last is when it was last known to
	// be listed otherwise.
	current bool
	last    time.Time
	// recorded is set once a stored router record names the version.
	recorded bool
}

// Versions keeps the versions that each service has had within Memory.
type Versions struct {
	services map[string]map[string]*listedVersion
	// change is incremented when a version is listed or no longer listed.
	change uint64
	// unknownUntil is the time until which services that come after namedUpTo may have had
	// versions that aren't kept.
	unknownUntil time.Time
	namedUpTo    string
}

// NewVersions returns an empty set of versions.
func NewVersions() *Versions {
	return &Versions{services: make(map[string]map[string]*listedVersion)}
}

// Change returns a number that rises when a version is listed or no longer listed.
func (v *Versions) Change() uint64 { return v.change }

// SetListed records which versions this router lists. It returns the services that have
// another one.
func (v *Versions) SetListed(now time.Time, listed map[Origin]bool) (grown []string) {
	for service, versions := range v.services {
		for version, known := range versions {
			if known.current && !listed[Origin{Service: service, Version: version}] {
				known.current, known.last = false, now
				v.change++
			}
		}
	}
	for origin := range listed {
		known, isNew := v.version(origin)
		if isNew {
			grown = append(grown, origin.Service)
		}
		if !known.current {
			known.current = true
			v.change++
		}
	}
	return grown
}

// Heard records that another router listed a version, the given time ago. It reports whether
// the version was not known.
func (v *Versions) Heard(now time.Time, origin Origin, ago time.Duration) bool {
	if ago >= Memory {
		return false
	}
	known, isNew := v.version(origin)
	if last := now.Add(-max(ago, 0)); last.After(known.last) {
		known.last = last
	}
	return isNew
}

// MarkRecorded records that a stored router record names a version.
func (v *Versions) MarkRecorded(origin Origin) {
	if known := v.services[origin.Service][origin.Version]; known != nil {
		known.recorded = true
	}
}

// Unrecorded returns the listed versions of a service that no stored router record names, if the
// service has several versions. After a loss of all routers nothing tells that such a version was
// there, unless it is listed still.
func (v *Versions) Unrecorded(now time.Time, service string) []string {
	if !v.Several(now, service) {
		return nil
	}
	var out []string
	for version, known := range v.services[service] {
		if known.current && !known.recorded {
			out = append(out, version)
		}
	}
	return out
}

// HeardInPart records that another router listed more versions than it named: those of the
// services that come after the given one, in the order of All.
func (v *Versions) HeardInPart(now time.Time, upTo string) {
	if !now.Before(v.unknownUntil) || upTo < v.namedUpTo {
		v.namedUpTo = upTo
	}
	v.unknownUntil = now.Add(Memory)
}

// version returns what is kept of a version, and whether it is new.
func (v *Versions) version(origin Origin) (known *listedVersion, isNew bool) {
	versions := v.services[origin.Service]
	if versions == nil {
		versions = make(map[string]*listedVersion)
		v.services[origin.Service] = versions
	}
	if known = versions[origin.Version]; known != nil {
		return known, false
	}
	known = &listedVersion{}
	if len(versions) >= maxVersions {
		v.dropOldest(versions)
	}
	versions[origin.Version] = known
	return known, true
}

// dropOldest drops the version that was listed longest ago, if one isn't listed.
func (v *Versions) dropOldest(versions map[string]*listedVersion) {
	oldest := ""
	for version, known := range versions {
		if !known.current && (oldest == "" || known.last.Before(versions[oldest].last)) {
			oldest = version
		}
	}
	delete(versions, oldest)
}

// recent returns the versions that a service has had within Memory.
func (v *Versions) recent(now time.Time, service string) []string {
	var out []string
	for version, known := range v.services[service] {
		if known.current || now.Sub(known.last) < Memory {
			out = append(out, version)
		}
	}
	return out
}

// Several reports whether a service has had several versions within Memory, so that the
// origins of its streams matter.
func (v *Versions) Several(now time.Time, service string) bool {
	return len(v.recent(now, service)) > 1
}

// Sole returns the only version that a service has had within Memory, and false if there
// were others or may have been.
func (v *Versions) Sole(now time.Time, service string) (version string, ok bool) {
	recent := v.recent(now, service)
	if len(recent) != 1 || now.Before(v.unknownUntil) && service > v.namedUpTo {
		return "", false
	}
	return recent[0], true
}

// All returns all versions that were listed within Memory, sorted by service and version.
func (v *Versions) All(now time.Time) []ServiceVersion {
	var out []ServiceVersion
	for _, service := range slices.Sorted(maps.Keys(v.services)) {
		for _, version := range v.recent(now, service) {
			known := v.services[service][version]
			s := ServiceVersion{Origin: Origin{Service: service, Version: version}, Listed: known.current}
			if !known.current {
				s.GoneFor = now.Sub(known.last)
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b ServiceVersion) int {
		if order := strings.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		return strings.Compare(a.Version, b.Version)
	})
	return out
}

// Expire drops the versions that no longer count.
func (v *Versions) Expire(now time.Time) {
	for service, versions := range v.services {
		maps.DeleteFunc(versions, func(_ string, known *listedVersion) bool { return !known.current && now.Sub(known.last) >= Memory })
		if len(versions) == 0 {
			delete(v.services, service)
		}
	}
}
