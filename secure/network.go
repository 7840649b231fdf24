package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/inbound"
	"jackdawswitch/rpc"
	"jackdawswitch/storage"
)

const (
	handshakeTimeout = 5 * time.Second

	// maxPendingHandshakes bounds the handshakes in progress. Beyond it, the oldest one ends.
	maxPendingHandshakes = 64

	// minAcceptDelay and maxAcceptDelay bound the delay after an error of Accept.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Network wraps another network in mutual TLS. Both ends present a certificate
// that must be signed by the certificate authority (CA).
type Network struct {
	inner       rpc.Network
	credentials *Credentials
}

// NewNetwork returns inner wrapped in mutual TLS.
func NewNetwork(inner rpc.Network, credentials *Credentials) *Network {
	return &Network{inner: inner, credentials: credentials}
}

// Dial implements rpc.Network. It returns after the TLS handshake; a failed
// handshake is a *PeerError.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tlsConn := tls.Client(conn, n.clientConfig(address))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, &PeerError{Address: address, Cause: err}
	}
	return tlsConn, nil
}

// clientConfig returns the TLS configuration for dialling address. It verifies
// the server's certificate with verifyServer: processes are dialled by IP address
// and VMs are replaced, so a certificate need not contain the address.
func (n *Network) clientConfig(address string) *tls.Config {
	material := n.credentials.latest()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &material.certificate, nil
		},
		// VerifyConnection replaces the standard verification, which requires a
		// server name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state, material.authority, address)
		},
	}
}

// verifyServer checks that the server's certificate is signed by the CA and, if
// it contains any IP addresses, that the dialled one is among them.
func verifyServer(state tls.ConnectionState, authority *x509.CertPool, address string) error {
	if len(state.PeerCertificates) == 0 {
		return &MissingError{What: "certificate"}
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	opts := x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := leaf.Verify(opts); err != nil {
		return err
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || len(leaf.IPAddresses) == 0 {
		return nil
	}
	return leaf.VerifyHostname(parsed.Addr().Unmap().String())
}

// Listen implements rpc.Network. Accept of the listener returns connections
// whose TLS handshake has succeeded.
func (n *Network) Listen(address string) (net.Listener, error) {
	inner, err := n.inner.Listen(address)
	if err != nil {
		return nil, err
	}
	l := &listener{
		Listener:     inner,
		config:       n.serverConfig(),
		ready:        make(chan net.Conn),
		done:         make(chan struct{}),
		acceptFailed: make(chan struct{}),
	}
	go l.acceptLoop()
	return l, nil
}

func (n *Network) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			material := n.credentials.latest()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{material.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    material.authority,
			}, nil
		},
	}
}

// listener runs TLS handshakes concurrently, limited in number and time, so that
// a slow client doesn't block others.
type listener struct {
	net.Listener
	config *tls.Config
	ready  chan net.Conn
	mu     sync.Mutex
	// pending are the connections whose handshake is in progress, the oldest first.
	pending   []net.Conn
	done      chan struct{}
	closeOnce sync.Once
	// acceptFailed is closed once acceptErr is set.
	acceptFailed chan struct{}
	acceptErr    error
}

// acceptLoop starts a handshake for each connection until the inner listener is closed.
// Any other error of Accept, as for lack of descriptors, is retried.
func (l *listener) acceptLoop() {
	retry := storage.NewBackOff(minAcceptDelay, maxAcceptDelay)
	for {
		conn, err := l.Listener.Accept()
		if err != nil && !errors.Is(err, net.ErrClosed) && l.sleep(retry.NextBackOff()) {
			continue
		}
		if err != nil {
			l.acceptErr = err
			close(l.acceptFailed)
			return
		}
		retry.Reset()
		l.begin(conn)
		go l.handshake(conn)
	}
}

// begin records a handshake. If there are too many, the oldest one ends, as it takes longest.
func (l *listener) begin(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= maxPendingHandshakes {
		_ = l.pending[0].Close()
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, conn)
}

func (l *listener) end(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.pending, conn); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

// sleep waits for d and reports whether the listener is still open.
func (l *listener) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-l.done:
		return false
	}
}

func (l *listener) handshake(conn net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(conn, l.config)
	err := tlsConn.HandshakeContext(ctx)
	l.end(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	select {
	case l.ready <- tlsConn:
	case <-l.done:
		_ = conn.Close()
	}
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	conn, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.WithStack(inbound.NotASocketError{})
	}
	return conn.SyscallConn()
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.acceptFailed:
		return nil, l.acceptErr
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}
