package orders

import "time"

// ServiceState is the state of one controller in a dump.
type ServiceState struct {
	Fence     uint64   `json:"fence"`
	Held      bool     `json:"held"`
	Agents    int      `json:"agents"`
	Confirmed int      `json:"confirmed"`
	Pending   []string `json:"pending"`
}

// publishState stores the controller's state for Service.Dump.
func (c *controller) publishState() {
	state := &ServiceState{Agents: len(c.agents)}
	state.Fence, state.Held = c.lease.Fence(time.Now())
	for _, agent := range c.agents {
		if c.isConfirmed(agent) {
			state.Confirmed++
		}
	}
	for id, order := range c.pending {
		state.Pending = append(state.Pending, id+" "+order.Model)
	}
	c.state.Store(state)
}
