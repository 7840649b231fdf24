package e2e

import (
	"testing"

	"jackdawswitch/crowd"
)

// Messages of other processes that stop midway, cut into frames as processes do, filled the memory.
func TestProofHalfMessagesInFramesStayWithinTheMemoryOfARouterWithAgents(t *testing.T) {
	p, router := startPressedRouter(t)
	p.press(router.ListenAddress, 60, crowd.HalfMessageInFrames(8<<20))
}

// The same at an agent.
func TestProofHalfMessagesInFramesStayWithinTheMemoryOfAnAgent(t *testing.T) {
	p, agent := startPressedAgent(t)
	p.press(agent.ListenAddress, 60, crowd.HalfMessageInFrames(8<<20))
}
