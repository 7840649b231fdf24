package quickstart

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jackdawswitch/standin"
	"jackdawswitch/vmlist"
)

const (
	// defaultTokenTime is the time per generated token, prefillTime that per uncached
	// prompt token.
	defaultTokenTime = 2 * time.Millisecond
	prefillTime      = 20 * time.Microsecond
	// resumeTime is how long a request keeps running without a reader.
	resumeTime = 5 * time.Second
)

// Standins are the running stand-ins of a layout, served on its addresses.
type Standins struct {
	Table   *standin.Table
	Objects *standin.ObjectStore
	VMList  *standin.VMList
	// Engines are the model engines in the order of the layout's agents; the
	// entry of the plain service's agent is nil.
	Engines      []*standin.Engine
	PlainService *standin.PlainService

	stop    context.CancelFunc
	servers errgroup.Group
}

// StartStandins serves the stand-ins of a layout. Each engine generates one token
// per tokenTime; 0 means 2 ms.
func StartStandins(layout *Layout, tokenTime time.Duration) (*Standins, error) {
	if tokenTime == 0 {
		tokenTime = defaultTokenTime
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Standins{
		Table:        standin.NewTable(),
		Objects:      standin.NewObjectStore(),
		VMList:       standin.NewVMList(),
		PlainService: standin.NewPlainService(),
		stop:         stop,
	}
	for _, nodes := range [][]Node{layout.Routers, layout.Agents} {
		for _, node := range nodes {
			s.VMList.Set(node.VM, vmlist.StateLive)
		}
	}
	handlers := map[string]http.Handler{
		layout.PlatformAddresses[0]: s.Table,
		layout.PlatformAddresses[1]: s.Objects,
		layout.PlatformAddresses[2]: s.VMList,
	}
	for i, address := range layout.EndpointAddresses {
		s.addEndpoint(handlers, address, layout.isPlain(i), tokenTime)
	}
	bounds := standin.NewBounds(len(handlers), slog.New(slog.DiscardHandler))
	for address, handler := range handlers {
		if err := s.startServer(ctx, address, bounds, handler); err != nil {
			stop()
			return nil, err
		}
	}
	return s, nil
}

func (s *Standins) addEndpoint(handlers map[string]http.Handler, address string, plain bool, tokenTime time.Duration) {
	if plain {
		s.Engines = append(s.Engines, nil)
		handlers[address] = s.PlainService
		return
	}
	engine := standin.NewEngine(engineOptions(tokenTime))
	s.Engines = append(s.Engines, engine)
	handlers[address] = engine
}

func engineOptions(tokenTime time.Duration) standin.EngineOptions {
	return standin.EngineOptions{
		Models:      []string{Model},
		Slots:       endpointSlots,
		PrefillTime: prefillTime,
		TokenTime:   tokenTime,
		ResumeTime:  resumeTime,
	}
}

func (s *Standins) startServer(ctx context.Context, address string, bounds *standin.Bounds, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(&PortError{Err: err})
	}
	server, bounded := bounds.Server(listener, handler)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.servers.Go(func() error {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Close stops the stand-ins and returns the first error of serving them.
func (s *Standins) Close() error {
	s.stop()
	return s.servers.Wait()
}
