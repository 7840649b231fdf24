package secure

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/settings"
)

// authority is a certificate authority (CA) for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
	dir         string
}

func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{certificate: certificate, key: key, file: filepath.Join(dir, "authority.pem"), dir: dir}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate and key to files named after name and returns the
// settings for them.
func (a *authority) issue(t *testing.T, name string, serial int64, ips ...net.IP) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: ips,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	s := settings.TLS{
		Certificate: filepath.Join(a.dir, name+".pem"),
		Key:         filepath.Join(a.dir, name+"-key.pem"),
		Authority:   a.file,
	}
	writePEM(t, s.Certificate, "CERTIFICATE", der)
	writePEM(t, s.Key, "PRIVATE KEY", keyDER)
	return s
}

func load(t *testing.T, paths settings.TLS) *Credentials {
	t.Helper()
	credentials, err := LoadCredentials(paths, nil)
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

// echo accepts connections and sends the first byte of each one back.
func echo(t *testing.T, network *Network, address string) {
	t.Helper()
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buffer := make([]byte, 1)
				if _, err := conn.Read(buffer); err == nil {
					_, _ = conn.Write(buffer)
				}
			}()
		}
	}()
}

// failingNetwork is a network whose listeners fail their first calls of Accept.
type failingNetwork struct {
	rpc.Network
	failures int
}

func (n failingNetwork) Listen(address string) (net.Listener, error) {
	inner, err := n.Network.Listen(address)
	return &failingListener{Listener: inner, failures: n.failures}, err
}

type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "test", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptIsRetried guards against a process that accepts no connections any more after
// it had no file descriptor left for a moment.
func TestAcceptIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAuthority(t, t.TempDir())
		network := memnet.New()
		echo(t, NewNetwork(failingNetwork{network.Host("server"), 3}, load(t, a.issue(t, "server", 1))), "server")
		client := NewNetwork(network.Host("client"), load(t, a.issue(t, "client", 2)))
		if _, err := call(t.Context(), client, "server"); err != nil {
			t.Fatal(err)
		}
	})
}

// call sends a byte and returns the serial number of the server's certificate.
func call(ctx context.Context, network *Network, address string) (int64, error) {
	conn, err := network.Dial(ctx, address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte{1}); err != nil {
		return 0, err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return serialOf(conn), nil
}

// Both ends must reject a peer whose certificate is from another CA, and a client
// that never starts the handshake must be disconnected.
func TestOnlyCertifiedProcessesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		trusted := newAuthority(t, t.TempDir())
		untrusted := newAuthority(t, t.TempDir())
		const address = "10.0.0.1:7000"
		echo(t, NewNetwork(network.Host(address), load(t, trusted.issue(t, "server", 2))), address)
		client := NewNetwork(network.Host("a"), load(t, trusted.issue(t, "client", 3)))
		if serial, err := call(t.Context(), client, address); err != nil || serial != 2 {
			t.Fatalf("call between processes of the same CA: got serial %d, %v; want 2", serial, err)
		}
		strangerPaths := untrusted.issue(t, "stranger", 4)
		strangerPaths.Authority = trusted.file
		stranger := NewNetwork(network.Host("b"), load(t, strangerPaths))
		if _, err := call(t.Context(), stranger, address); err == nil {
			t.Error("a client with a certificate from another CA was served")
		}
		victim := NewNetwork(network.Host("c"), load(t, untrusted.issue(t, "victim", 5)))
		_, err := call(t.Context(), victim, address)
		var peer *PeerError
		if !errors.As(err, &peer) {
			t.Errorf("server with a certificate from another CA: got %v, want a PeerError", err)
		}
		plain, err := network.Host("d").Dial(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(handshakeTimeout + time.Second)
		if _, err := plain.Read(make([]byte, 1)); err == nil {
			t.Error("a client without a handshake was not disconnected after the timeout")
		}
	})
}

// A process must not be able to pose as another one: if a server's certificate
// contains IP addresses, the dialled one must be among them.
func TestServerMustNameItsAddressIfItNamesAny(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		trusted := newAuthority(t, t.TempDir())
		for address, named := range map[string]string{"10.0.0.1:7000": "10.0.0.1", "10.0.0.2:7000": "10.0.0.9"} {
			credentials := load(t, trusted.issue(t, named, 2, net.ParseIP(named)))
			echo(t, NewNetwork(network.Host(address), credentials), address)
		}
		client := NewNetwork(network.Host("a"), load(t, trusted.issue(t, "client", 3)))
		if _, err := call(t.Context(), client, "10.0.0.1:7000"); err != nil {
			t.Errorf("certificate with the dialled address: %v", err)
		}
		if _, err := call(t.Context(), client, "10.0.0.2:7000"); err == nil {
			t.Error("a server with the certificate of another address was accepted")
		}
	})
}

// Replacing the certificate files must take effect without a restart, and files
// that are only half written must leave the previous certificate in use.
func TestCertificateIsRotatedWithoutRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		trusted := newAuthority(t, t.TempDir())
		const address = "10.0.0.1:7000"
		paths := trusted.issue(t, "server", 2)
		serverCredentials := load(t, paths)
		echo(t, NewNetwork(network.Host(address), serverCredentials), address)
		client := NewNetwork(network.Host("a"), load(t, trusted.issue(t, "client", 3)))
		if err := os.WriteFile(paths.Key, []byte("half written"), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * reloadInterval)
		if serial, err := call(t.Context(), client, address); err != nil || serial != 2 {
			t.Fatalf("with a half-written key: got serial %d, %v; want 2", serial, err)
		}
		if serverCredentials.Dump().Failure == "" {
			t.Error("Dump does not show the failed reload")
		}
		trusted.issue(t, "server", 7)
		later := time.Now().Add(time.Minute)
		if err := os.Chtimes(paths.Certificate, later, later); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * reloadInterval)
		if serial, err := call(t.Context(), client, address); err != nil || serial != 7 {
			t.Fatalf("after rotation: got serial %d, %v; want 7", serial, err)
		}
	})
}

// Guards against connections without a handshake that keep others from one.
func TestProofSilentConnectionsDoNotKeepOthersFromAHandshake(t *testing.T) {
	dir := t.TempDir()
	credentials := load(t, newAuthority(t, dir).issue(t, "a", 2))
	network := NewNetwork(rpc.TCP{}, credentials)
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan struct{})
	go func() {
		if conn, err := listener.Accept(); err == nil {
			close(accepted)
			_ = conn.Close()
		}
	}()
	const crowd = 600
	for range crowd {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	conn, err := network.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatalf("no handshake beside %d silent connections: %v", crowd, err)
	}
	defer func() { _ = conn.Close() }()
	<-accepted
}
