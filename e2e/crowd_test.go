package e2e

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/crowd"
	"jackdawswitch/quickstart"
	"jackdawswitch/storage/tablehttp"
)

// The bounds of a process that a crowd presses, and the descriptors that it must leave for its own
// connections.
const (
	crowdMemoryBytes = 256 << 20
	crowdMaxFds      = 600
	crowdSockets     = crowdMaxFds - 100
)

// pressed is a process that a crowd presses.
type pressed struct {
	t       *testing.T
	process *process
	watch   *crowd.Watch
	// serve sends an ordinary request to the system of the process.
	serve func(ctx context.Context, name string) error
}

func newPressed(t *testing.T, p *process, serve func(ctx context.Context, name string) error) *pressed {
	t.Helper()
	out := &pressed{t: t, process: p, watch: crowd.NewWatch(p.cmd.Process.Pid), serve: serve}
	if !out.isServed("before") {
		t.Fatal("no request is answered before the crowd comes")
	}
	return out
}

// startPressedFleet starts a router and two agents.
func startPressedFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleet(t, fleetOptions{routers: 1, agents: 2, maxFds: crowdMaxFds})
}

// serve sends an ordinary request.
func (f *fleet) serve(ctx context.Context, name string) error {
	_, err := f.client(0).StreamChat(ctx, name, name, streamTokens, func(string) {})
	return err
}

func startPressedRouter(t *testing.T) (*pressed, quickstart.Node) {
	t.Helper()
	f := startPressedFleet(t)
	return newPressed(t, f.routers[0], f.serve), f.layout.Routers[0]
}

func startPressedAgent(t *testing.T) (*pressed, quickstart.Node) {
	t.Helper()
	f := startPressedFleet(t)
	return newPressed(t, f.agents[0], f.serve), f.layout.Agents[0]
}

// startPressedStandins starts the stand-ins of the platform.
func startPressedStandins(t *testing.T) (*pressed, *quickstart.Layout) {
	t.Helper()
	layout, err := quickstart.NewLayout(1, 2)
	check(t, err)
	dir := t.TempDir()
	check(t, layout.Write(dir, layout.Document()))
	p := &process{t: t, name: "standins", program: "jackdaw-standin", maxFds: crowdMaxFds}
	p.run("--settings", filepath.Join(dir, quickstart.StandinsFile))
	serve := func(ctx context.Context, _ string) error {
		_, err := tablehttp.New(layout.Platform.Table, tablehttp.Options{}).Get(ctx, "config/head")
		return err
	}
	return newPressed(t, p, serve), layout
}

// isServed sends one request, and sends it again as a caller with retries does.
func (p *pressed) isServed(name string) bool {
	for i := range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := p.serve(ctx, fmt.Sprintf("%s-%d", name, i))
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// press lets a crowd press the process, and checks what must hold during it and after it.
func (p *pressed) press(address string, count int, clients ...crowd.Client) {
	p.t.Helper()
	c := crowd.Open(address, count, clients...)
	c.AwaitPressed()
	time.Sleep(time.Second)
	if !p.isServed("during") {
		p.t.Error("no request is answered during the crowd")
	}
	c.Close()
	p.checkAfter()
}

// checkAfter checks that the process lives, that requests are answered, and what it held.
func (p *pressed) checkAfter() {
	p.t.Helper()
	if !p.isServed("after") {
		p.t.Error("no request is answered after the crowd")
	}
	p.watch.Stop()
	most := p.watch.Most()
	p.t.Logf("%d MB with what is unread: %v", most.MemoryBytes()>>20, most)
	if most.MemoryBytes() > crowdMemoryBytes {
		p.t.Errorf("the process held %d MB, want at most %d", most.MemoryBytes()>>20, crowdMemoryBytes>>20)
	}
	if most.Sockets > crowdSockets {
		p.t.Errorf("the process held %d sockets, want at most %d", most.Sockets, crowdSockets)
	}
	select {
	case <-p.process.done:
		p.t.Error("the process ended")
	default:
	}
}

const (
	// largeHeadBytes is the size of a head near the default limit of net/http.
	largeHeadBytes = 900 << 10

	chatHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + quickstart.APIKey + "\r\n"
)

// Heads of requests over the limit, without end or left midway filled the memory.
func TestProofHeadsWithoutEndOfCallersOfARouterWithAgentsStayWithinTheMemory(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.CallerAddress, 480, crowd.Heads(1<<20, 30<<10)[:2]...)
}

// The same at the operators' listener of a router.
func TestProofHeadsWithoutEndAtTheOperatorsListenerOfARouterWithAgentsStayWithinTheMemory(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.OperatorAddress, 80, crowd.Heads(2<<20, largeHeadBytes)...)
}

// The same at the operators' listener of an agent.
func TestProofHeadsWithoutEndAtTheOperatorsListenerOfAnAgentStayWithinTheMemory(t *testing.T) {
	p, agent := startPressedAgent(t)
	p.press(agent.OperatorAddress, 80, crowd.Heads(2<<20, largeHeadBytes)...)
}

// The same at a stand-in.
func TestProofHeadsWithoutEndAtAStandinStayWithinTheMemory(t *testing.T) {
	p, layout := startPressedStandins(t)
	p.press(layout.PlatformAddresses[0], 80, crowd.Heads(2<<20, largeHeadBytes)...)
}

// Connections of callers that send nothing took all descriptors.
func TestProofSilentCallersOfARouterWithAgentsLeaveDescriptorsForOthers(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.CallerAddress, 700, crowd.Silent()...)
}

// Connections of callers that were answered once and stay open did so.
func TestProofIdleCallersOfARouterWithAgentsLeaveDescriptorsForOthers(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.CallerAddress, 700, crowd.Client{Start: "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", Reads: true})
}

// The same at the operators' listener of a router.
func TestProofSilentConnectionsToTheOperatorsListenerOfARouterWithAgentsLeaveDescriptorsForOthers(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.OperatorAddress, 700, crowd.Silent()...)
}

// The same at a router's listener for other processes.
func TestProofSilentConnectionsToTheListenerForProcessesOfARouterLeaveDescriptorsForOthers(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.ListenAddress, 700, crowd.Client{})
}

// The same at the listener of an agent.
func TestProofSilentConnectionsToAnAgentLeaveDescriptorsForOthers(t *testing.T) {
	p, agent := startPressedAgent(t)
	p.press(agent.ListenAddress, 700, crowd.Client{})
}

// The same at the operators' listener of an agent.
func TestProofSilentConnectionsToTheOperatorsListenerOfAnAgentLeaveDescriptorsForOthers(t *testing.T) {
	p, agent := startPressedAgent(t)
	p.press(agent.OperatorAddress, 700, crowd.Silent()...)
}

// The same at a stand-in.
func TestProofSilentConnectionsToAStandinLeaveDescriptorsForOthers(t *testing.T) {
	p, layout := startPressedStandins(t)
	p.press(layout.PlatformAddresses[0], 700, crowd.Silent()...)
}

// Refusals that their callers don't read, and requests behind them, filled the kernel's memory.
func TestProofUnreadRefusalsOfARouterWithAgentsStayWithinTheMemory(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.CallerAddress, 480, crowd.Pipelined("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 16<<20))
}

// Bodies that stop midway filled the memory.
func TestProofBodiesLeftMidwayStayWithinTheMemoryOfARouterWithAgents(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.CallerAddress, 300, crowd.Midway(chatHead+"Content-Length: 1000000\r\n\r\n", 900_000))
}

// The same at a stand-in, whose bodies may be larger.
func TestProofBodiesLeftMidwayStayWithinTheMemoryOfAStandin(t *testing.T) {
	p, layout := startPressedStandins(t)
	p.press(layout.PlatformAddresses[1], 60, crowd.Midway("PUT /v1/objects/a HTTP/1.1\r\nHost: h\r\nContent-Length: 16000000\r\n\r\n", 15_000_000))
}

// Messages of other processes that stop midway filled the memory.
func TestProofHalfMessagesStayWithinTheMemoryOfARouterWithAgents(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.ListenAddress, 60, crowd.HalfMessage(8<<20))
}

// The same at an agent.
func TestProofHalfMessagesStayWithinTheMemoryOfAnAgent(t *testing.T) {
	p, agent := startPressedAgent(t)
	p.press(agent.ListenAddress, 60, crowd.HalfMessage(8<<20))
}

// A call with fields missing or out of range may end a router.
func TestOddCallsEndNoRouterWithAgents(t *testing.T) {
	p, router := startPressedRouter(t)
	check(t, crowd.OddCalls(router.ListenAddress, pb.File_jackdawv1_home_proto.Services().Get(0)))
	check(t, crowd.OddCalls(router.ListenAddress, pb.File_jackdawv1_peer_proto.Services().Get(0)))
	p.checkAfter()
}

// The same for an agent.
func TestOddCallsEndNoAgent(t *testing.T) {
	p, agent := startPressedAgent(t)
	check(t, crowd.OddCalls(agent.ListenAddress, pb.File_jackdawv1_agent_proto.Services().Get(0)))
	p.checkAfter()
}
