package configsync

// Dump is the state of a store as shown to operators.
type Dump struct {
	Version uint64 `json:"version"`
	// StaleSeconds is the time since Version was last confirmed as the newest.
	StaleSeconds float64 `json:"staleSeconds"`
	// Isolated is set when StaleSeconds exceeds the longest time between two
	// confirmations of a process that reaches the table or another process.
	Isolated bool `json:"isolated"`
	// Poller is set when this process polls the table often.
	Poller      bool   `json:"poller"`
	LastFailure string `json:"lastFailure,omitempty"`
	// KeptChanges and KeptBytes are the number and size of the changes kept for
	// other processes.
	KeptChanges int `json:"keptChanges"`
	KeptBytes   int `json:"keptBytes"`
	Workspaces  int `json:"workspaces"`
	Services    int `json:"services"`
	Endpoints   int `json:"endpoints"`
	Lots        int `json:"lots"`
}

// Dump returns the store's state.
func (s *Store) Dump() Dump {
	stale := s.Staleness()
	doc, version := s.Current()
	dump := Dump{
		Version:      version,
		StaleSeconds: stale.Seconds(),
		Isolated:     stale > isolatedThreshold,
		Poller:       s.isPoller(),
	}
	if doc != nil {
		dump.Workspaces = len(doc.Register.Workspaces)
		dump.Services = len(doc.Register.Services)
		dump.Endpoints = len(doc.Register.Endpoints)
		dump.Lots = len(doc.Register.Lots)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	dump.LastFailure = s.lastFailure
	dump.KeptChanges, dump.KeptBytes = len(s.replica.log), s.replica.logBytes
	return dump
}
