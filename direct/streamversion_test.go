package direct

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/catalog"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
	"jackdawswitch/streamorigin"
)

// The endpoints break off in the middle of each stream.
func TestProofAStreamGoesOnAtItsVersionWithinOneAnswer(t *testing.T) {
	f := newStreamFleet(t, 1, "v1", "v2", "v3", "v1", "v2", "v3")
	for range 30 {
		var s callerStream
		f.request(0, &s, 3, 0)
		if s.mixed() || !s.complete {
			t.Fatalf("a stream has events of %v, complete: %v", s.versions, s.complete)
		}
	}
}

// The caller's connection breaks, and the router that began the stream is dead from then on.
func TestProofAStreamGoesOnAtItsVersionAtAnotherRouter(t *testing.T) {
	const streams = 24
	f := newStreamFleet(t, 4, "v1", "v2", "v3", "v1", "v2", "v3")
	begun := make([]callerStream, streams)
	for i := range begun {
		f.request(0, &begun[i], 0, 2)
	}
	f.settle()
	f.kill(0)
	wentOn := 0
	for i := range begun {
		// Each stream is taken up three times.
		for attempt, leaveAfter := range []int{4, 6, 0} {
			f.request(1+(i+attempt)%3, &begun[i], 0, leaveAfter)
		}
		if begun[i].mixed() {
			t.Errorf("a stream has events of %v", begun[i].versions)
		}
		if begun[i].complete {
			wentOn++
		}
	}
	if wentOn < streams/2 {
		t.Errorf("%d of %d streams went on, want at least half", wentOn, streams)
	}
}

// Four of eight routers die in one moment.
func TestProofStreamsGoOnWhenHalfOfTheRoutersDie(t *testing.T) {
	const routers, streams = 8, 160
	f := newStreamFleet(t, routers, "v1", "v2", "v1", "v2")
	begun := make([]callerStream, streams)
	for i := range begun {
		f.request(i%routers, &begun[i], 0, 2)
	}
	f.settle()
	for i := range routers / 2 {
		f.kill(i)
	}
	wentOn := 0
	for i := range begun {
		f.request(routers/2+i%(routers/2), &begun[i], 0, 0)
		if begun[i].mixed() {
			t.Errorf("a stream has events of %v", begun[i].versions)
		}
		if begun[i].complete {
			wentOn++
		}
	}
	if wentOn < streams/2 {
		t.Errorf("%d of %d streams went on, want at least half", wentOn, streams)
	}
	t.Logf("%d of %d streams went on", wentOn, streams)
}

// Three of four routers die in one moment.
func TestProofStreamsGoOnWhenOneRouterIsLeft(t *testing.T) {
	const routers, streams = 4, 40
	f := newStreamFleet(t, routers, "v1", "v2", "v1", "v2")
	begun := make([]callerStream, streams)
	for i := range begun {
		f.request(i%routers, &begun[i], 0, 2)
	}
	f.settle()
	for i := range routers - 1 {
		f.kill(i)
	}
	for i := range begun {
		if f.request(routers-1, &begun[i], 0, 0); !begun[i].complete || begun[i].mixed() {
			t.Errorf("stream %d: status %d, events of %v, want the whole stream", i, begun[i].status, begun[i].versions)
		}
	}
}

// The router that began the streams is cut off from the others from the start.
func TestProofAStreamOfUnknownOriginIsRefusedAtOnce(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v2")
	for _, other := range []string{"vm1", "vm2"} {
		f.network.Block("vm0", other)
		f.network.Block(other, "vm0")
	}
	for range 10 {
		var s callerStream
		f.request(0, &s, 0, 2)
		runs, began := f.totalRuns(), time.Now()
		f.request(1, &s, 0, 0)
		if elapsed := time.Since(began); s.status != http.StatusServiceUnavailable || f.totalRuns() != runs || elapsed > time.Second {
			t.Fatalf("status %d, %d runs, after %v", s.status, f.totalRuns()-runs, elapsed)
		}
		// The router that began it knows.
		if f.request(0, &s, 0, 0); !s.complete || s.mixed() {
			t.Fatalf("events of %v, complete: %v", s.versions, s.complete)
		}
	}
}

// All routers are killed in one moment.
func TestRestartedRoutersGoOnWithTheOnlyVersion(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	var s callerStream
	f.request(0, &s, 0, 2)
	f.restartAll()
	if f.request(1, &s, 0, 0); !s.complete {
		t.Fatalf("status %d, events of %v", s.status, s.versions)
	}
}

// The endpoints are replaced by those of another version while all routers are down.
func TestProofRestartedRoutersRememberTheVersionBefore(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	var s callerStream
	f.request(0, &s, 0, 2)
	for i := range f.routers {
		f.kill(i)
	}
	f.endpoints = []catalog.Endpoint{f.startEndpoint("e9", "v2")}
	for i := range f.routers {
		f.startRouter(i)
	}
	runs := f.totalRuns()
	f.request(1, &s, 0, 0)
	if s.status != http.StatusServiceUnavailable || f.totalRuns() != runs {
		t.Fatalf("status %d, events of %v", s.status, s.versions)
	}
}

func TestAServiceWithOneVersionTellsAndAsksNothing(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	for i := range 10 {
		var s callerStream
		f.request(i%3, &s, 3, 4)
		if f.request((i+1)%3, &s, 0, 0); !s.complete {
			t.Fatalf("status %d, events of %v", s.status, s.versions)
		}
	}
	f.settle()
	for _, r := range f.routers {
		if n := r.count("stream_origin_calls"); n != 0 {
			t.Errorf("%d calls to other routers", n)
		}
	}
}

// The stream began while there was one version, and its router dies when there are two.
func TestProofStreamsInFlightAreToldWhenASecondVersionComes(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	var s callerStream
	f.request(0, &s, 0, 2)
	f.list(append(f.endpoints, f.startEndpoint("e8", "v2"), f.startEndpoint("e9", "v2"))...)
	f.settle()
	f.kill(0)
	if f.request(1, &s, 0, 0); !s.complete || s.mixed() {
		t.Fatalf("status %d, events of %v", s.status, s.versions)
	}
}

// The endpoint starts again under its ID and address, while the list can't be read.
func TestProofAnEndpointBackAtAnotherVersionMixesNoStreams(t *testing.T) {
	f := newStreamFleet(t, 1, "v1", "v1", "v2")
	r := f.routers[0]
	r.SetEndpointSourceUnavailable(true)
	changed := f.served[f.endpoints[0].Address]
	changed.process.Store(&endpointProcess{version: "v3", started: 2})
	for range 40 {
		var s callerStream
		f.request(0, &s, 3, 0)
		if !s.complete {
			f.request(0, &s, 0, 0)
		}
		if s.mixed() {
			t.Fatalf("events of %v", s.versions)
		}
	}
	r.SetEndpointSourceUnavailable(false)
	f.endpoints[0].Version, f.endpoints[0].Started = "v3", 2
	f.list(f.endpoints...)
	for range 40 {
		var s callerStream
		if f.request(0, &s, 0, 2); s.versions[0] != "v3" {
			continue
		}
		if f.request(0, &s, 0, 0); !s.complete || s.mixed() {
			t.Fatalf("once the list is read: status %d, events of %v", s.status, s.versions)
		}
	}
}

func TestInvalidOriginsOfOtherRoutersAreDropped(t *testing.T) {
	sound := func() *pb.StreamOrigin {
		return encodeOrigin(streamorigin.Stream{Key: streamorigin.KeyOf("w", "r"), Origin: streamorigin.Origin{Service: "s", Version: "v1"}, Keep: time.Minute})
	}
	if got, ok := decodeOrigin(sound()); !ok || got.Origin.Version != "v1" || got.Keep != time.Minute || got.Key != streamorigin.KeyOf("w", "r") {
		t.Fatalf("a sound origin was changed: %+v", got)
	}
	for what, change := range map[string]func(*pb.StreamOrigin){
		"no key":       func(o *pb.StreamOrigin) { o.Key = nil },
		"short key":    func(o *pb.StreamOrigin) { o.Key = o.Key[:15] },
		"no service":   func(o *pb.StreamOrigin) { o.Service = "" },
		"long version": func(o *pb.StreamOrigin) { o.Version = string(make([]byte, maxOriginTextBytes+1)) },
		"no time":      func(o *pb.StreamOrigin) { o.KeepMs = 0 },
		"too long":     func(o *pb.StreamOrigin) { o.KeepMs = 1 << 50 },
	} {
		o := sound()
		if change(o); o != nil {
			if _, ok := decodeOrigin(o); ok {
				t.Errorf("%s: accepted", what)
			}
		}
	}
	if _, ok := decodeOrigin(nil); ok {
		t.Error("nothing: accepted")
	}
}

// What a stream costs doesn't grow with the fleet, and no router holds many more than others.
func TestTellingOfStreamsIsSpreadEvenly(t *testing.T) {
	const streams = 20_000
	for _, routers := range []int{4, 100, 360} {
		p := newPeers(prepaid.ProcessID{VM: "vm"}, "fd", memnet.New().Host("vm"), nil, nil, slog.New(slog.DiscardHandler))
		for i := range routers - 1 {
			p.add(prepaid.ProcessID{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}, "h:1", "fd")
		}
		held := make(map[prepaid.ProcessID]int)
		for i := range streams {
			holders := p.originHolders(streamorigin.KeyOf("w", strconv.Itoa(i)), true)
			if len(holders) != min(routers-1, maxOriginHolders) {
				t.Fatalf("%d routers: %d holders", routers, len(holders))
			}
			for _, holder := range holders[:originHolders] {
				held[holder]++
			}
		}
		most := 0
		for _, n := range held {
			most = max(most, n)
		}
		if mean := float64(originHolders*streams) / float64(routers-1); float64(most) > 2*mean {
			t.Errorf("%d routers: one holds %d streams, the mean is %.0f", routers, most, mean)
		}
	}
	origin := encodeOrigin(streamorigin.Stream{Origin: streamorigin.Origin{Service: "brew-models", Version: "v1.1"}, Keep: 42 * time.Second})
	t.Logf("%d bytes for each of %d holders of a stream", proto.Size(&pb.KeepOriginsRequest{Origins: []*pb.StreamOrigin{origin}}), originHolders)
}

// release adds endpoints of another version, and waits until the routers have recorded it.
func (f *streamFleet) release(version string, ids ...string) {
	f.t.Helper()
	list := slices.Clone(f.endpoints)
	for _, id := range ids {
		list = append(list, f.startEndpoint(id, version))
	}
	f.list(list...)
	for i := range f.routers {
		eventually(f.t, "the version is recorded", func() bool { return strings.Contains(string(f.record(i)), `"`+version+`"`) })
	}
}

// beginAt begins a stream at a version.
func (f *streamFleet) beginAt(version string) *callerStream {
	f.t.Helper()
	for range 100 {
		var s callerStream
		if f.request(0, &s, 0, 2); len(s.versions) > 0 && s.versions[0] == version {
			return &s
		}
	}
	f.t.Fatalf("no stream began at %s", version)
	return nil
}

// All routers are killed at a release and read what the table had before it when they are back.
func TestProofAStaleReadAfterAKillOfAllJoinsNoVersions(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	before := f.reads()
	f.release("v2", "e8", "e9")
	s := f.beginAt("v2")
	f.stale = &before
	f.restartAll()
	runs := f.totalRuns()
	if f.request(1, s, 0, 0); s.status != http.StatusServiceUnavailable || f.totalRuns() != runs {
		t.Errorf("status %d, events of %v, want a refusal", s.status, s.versions)
	}
	f.stale = nil
	f.list(f.endpoints...)
	for _, r := range f.routers {
		f.readRecords(r)
	}
	if f.request(2, s, 0, 0); s.status != http.StatusServiceUnavailable || s.mixed() {
		t.Errorf("once the present list is read: status %d, events of %v, want a refusal", s.status, s.versions)
	}
}

// The list is read later than the records when the routers are back.
func TestProofAStaleListAfterAKillOfAllJoinsNoVersions(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	before := f.reads()
	f.release("v2", "e8", "e9")
	s := f.beginAt("v2")
	for i := range f.routers {
		f.kill(i)
	}
	// The table lost what the routers wrote of the release.
	for i, record := range before.records {
		f.overwriteRecord(i, record)
	}
	f.endpoints = before.endpoints
	f.listVersion = new(uint64)
	for i := range f.routers {
		f.startRouter(i)
	}
	if f.request(1, s, 0, 0); s.status != http.StatusServiceUnavailable || s.retryAfter == "" || s.mixed() {
		t.Errorf("status %d, retry after %q, events of %v, want a refusal with a time to come back", s.status, s.retryAfter, s.versions)
	}
}

// A request to take a stream up comes while the router reads the list.
func TestAStreamWaitsForTheVersionsBefore(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	s := f.beginAt("v1")
	f.listVersion = new(uint64)
	f.restartAll()
	f.listVersion = nil
	time.AfterFunc(maxHistoryWait/4, func() { f.readRecords(f.routers[1]) })
	if f.request(1, s, 0, 0); !s.complete {
		t.Errorf("status %d, events of %v, want the whole stream", s.status, s.versions)
	}
}

// A version comes and goes while the table loses what routers write, and all routers are killed.
func TestProofAVersionThatWasNeverRecordedJoinsNoStreams(t *testing.T) {
	const streams = 20
	f := newStreamFleet(t, 3, "v1", "v1")
	before := f.endpoints
	f.table.SetFaults(standin.Faults{LoseWrites: -1})
	f.list(append(slices.Clone(before), f.startEndpoint("e8", "v2"), f.startEndpoint("e9", "v2"))...)
	begun := make([]callerStream, streams)
	for i := range begun {
		f.request(i%3, &begun[i], 0, 2)
	}
	for i := range f.routers {
		f.kill(i)
	}
	f.table.SetFaults(standin.Faults{})
	f.endpoints = before
	for i := range f.routers {
		f.startRouter(i)
	}
	for i := range begun {
		if f.request(i%3, &begun[i], 0, 0); begun[i].mixed() || !begun[i].complete {
			t.Errorf("status %d, events of %v, want the rest of one version", begun[i].status, begun[i].versions)
		}
	}
}

// Streams begin at a new version as soon as it is recorded, and before if no other is left.
func TestStreamsBeginAtANewVersion(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	f.release("v2", "e8", "e9")
	f.beginAt("v2")
	f.table.SetFaults(standin.Faults{LoseWrites: -1})
	f.list(f.startEndpoint("e10", "v3"))
	f.beginAt("v3")
	f.table.SetFaults(standin.Faults{})
}

// The table came back from a copy, with another clock.
func TestAVersionInARecordOfAnEarlierEraCounts(t *testing.T) {
	f := newStreamFleet(t, 1, "v1")
	r := f.routers[0]
	merge := func(era uint64) {
		t.Helper()
		gone := time.Now().Add(-2 * streamorigin.Memory).UnixMilli()
		data, err := json.Marshal(routerRecord{
			Incarnation: 1, Address: "a:1", Versions: []recordedVersion{{Service: "s", Version: "v0", GoneMS: gone}},
			Era: prepaid.EraProgress{Era: era},
		})
		if err != nil {
			t.Fatal(err)
		}
		r.MergeRouterRecord("other", data)
	}
	if merge(0); r.streams.several(time.Now(), "s") {
		t.Error("a version that left long ago counts")
	}
	if merge(1); !r.streams.several(time.Now(), "s") {
		t.Error("a version whose time is of another clock doesn't count")
	}
}
