package quickstart

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"jackdawswitch/config"
	"jackdawswitch/standin"
	"jackdawswitch/vmlist"
)

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// StandinSettings are the settings of jackdaw-standin: the host:port on which to
// serve each stand-in. Stand-ins without an address are not served.
type StandinSettings struct {
	Table       string `json:"table,omitempty"`
	ObjectStore string `json:"objectStore,omitempty"`
	VMList      string `json:"vmList,omitempty"`
	// VMs are the IDs of VMs that the VM list shows as live from the start.
	VMs           []string        `json:"vms,omitempty"`
	Engines       []StandinEngine `json:"engines,omitempty"`
	PlainServices []string        `json:"plain,omitempty"`
}

// StandinEngine is one model engine. The durations in its options are in
// nanoseconds.
type StandinEngine struct {
	ListenAddress string                `json:"listen"`
	Options       standin.EngineOptions `json:"options"`
}

// LiveVMs returns the entries of the VM list.
func (s *StandinSettings) LiveVMs() []vmlist.VM {
	var vms []vmlist.VM
	for _, id := range s.VMs {
		vms = append(vms, vmlist.VM{ID: id, State: vmlist.StateLive})
	}
	return vms
}

// StandinSettings returns the settings for the layout's stand-ins.
func (l *Layout) StandinSettings() StandinSettings {
	s := StandinSettings{
		Table:       l.PlatformAddresses[0],
		ObjectStore: l.PlatformAddresses[1],
		VMList:      l.PlatformAddresses[2],
	}
	for _, nodes := range [][]Node{l.Routers, l.Agents} {
		for _, node := range nodes {
			s.VMs = append(s.VMs, node.VM)
		}
	}
	for i, address := range l.EndpointAddresses {
		if l.isPlain(i) {
			s.PlainServices = append(s.PlainServices, address)
			continue
		}
		s.Engines = append(s.Engines, StandinEngine{ListenAddress: address, Options: engineOptions(defaultTokenTime)})
	}
	return s
}

// FileError reports that a file or folder of the layout could not be written.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string {
	return "quickstart: cannot write " + e.Path + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// The names of the files in a written layout that belong to no daemon.
const (
	RegisterFile = "register.json"
	StandinsFile = "standins.json"
)

// Write writes doc, the settings of the stand-ins and the settings of each daemon
// into a folder, which it creates if needed. A daemon's file is named after its
// VM. Errors wrap a *FileError.
func (l *Layout) Write(dir string, doc *config.Document) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errors.WithStack(&FileError{Path: dir, Err: err})
	}
	files := map[string]any{RegisterFile: doc, StandinsFile: l.StandinSettings()}
	for i, node := range l.Routers {
		files[node.VM+".json"] = l.RouterSettings(i)
	}
	for i, node := range l.Agents {
		files[node.VM+".json"] = l.AgentSettings(i)
	}
	for name, content := range files {
		path := filepath.Join(dir, name)
		encoded, err := json.MarshalIndent(content, "", "  ")
		if err == nil {
			err = os.WriteFile(path, append(encoded, '\n'), fileMode)
		}
		if err != nil {
			return errors.WithStack(&FileError{Path: path, Err: err})
		}
	}
	return nil
}
