package outbound

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"
)

// identity returns the certificate of a server on loopback, and a pool that trusts it.
func identity(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	return server.TLS.Certificates[0], trusted
}

// serveTLS accepts connections with TLS, and plays a function on each after the head of its first request.
func serveTLS(t *testing.T, certificate tls.Certificate, play func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12})
	if err != nil {
		t.Fatal(err)
	}
	accept(t, listener, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			play(conn)
		}
	})
	return "https://" + listener.Addr().String()
}

// tlsTransports are transports with the settings of those that programs use.
func tlsTransports(trusted *x509.CertPool) map[string]*Transport {
	out := map[string]*Transport{
		"HTTP/1.1 only": NewTransport(&http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}),
		"no settings":   NewTransport(&http.Transport{}),
		"with HTTP/2":   NewTransport(http.DefaultTransport.(*http.Transport)),
	}
	for _, transport := range out {
		if transport.base.TLSClientConfig == nil {
			transport.base.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		transport.base.TLSClientConfig.RootCAs = trusted
	}
	return out
}

// Guards against malformed responses that are passed on because they came with TLS.
func TestAMalformedResponseWithTLSFailsAtOnce(t *testing.T) {
	certificate, trusted := identity(t)
	const ok, rest = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nhi"
	for name, text := range map[string]string{
		"status 000":           "HTTP/1.1 000 Trouble\r\n" + rest,
		"status 600":           "HTTP/1.1 600 Trouble\r\n" + rest,
		"blank in a name":      ok + "a b: c\r\n" + rest,
		"blank after the code": ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"control in a value":   ok + "a: b\x01\r\n" + rest,
		"trailer":              ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\na b: c\r\n\r\n",
	} {
		address := serveTLS(t, certificate, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
		for kind, transport := range tlsTransports(trusted) {
			t.Run(name+"/"+kind, func(t *testing.T) {
				started := time.Now()
				err := post(&http.Client{Transport: transport, Timeout: 3 * time.Second}, address)
				var malformed *MalformedError
				if elapsed := time.Since(started); !errors.As(err, &malformed) || elapsed > time.Second {
					t.Errorf("error %v after %v, want a malformed response at once", err, elapsed)
				}
			})
		}
	}
}

// Guards against a part of a response that looks complete because the reset of its connection was told to
// the upload.
func TestAResponseWithTLSThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	certificate, trusted := identity(t)
	address := serveTLS(t, certificate, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		tcp := conn.(*tls.Conn).NetConn().(*net.TCPConn)
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	})
	transport := tlsTransports(trusted)["HTTP/1.1 only"]
	complete := 0
	const tries = 40
	for range tries {
		resp, err := (&http.Client{Transport: transport}).Post(address, "text/plain", strings.NewReader(strings.Repeat("u", 16<<20)))
		if err != nil {
			continue
		}
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			complete++
		}
		_ = resp.Body.Close()
	}
	if complete > 0 {
		t.Errorf("%d of %d responses look complete", complete, tries)
	}
}

func TestASoundResponseWithTLSIsPassedOn(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	for kind, transport := range tlsTransports(trusted) {
		defer transport.CloseIdleConnections()
		want := map[string]int{"HTTP/1.1 only": 1, "no settings": 1, "with HTTP/2": 2}[kind]
		for range 3 {
			resp, err := (&http.Client{Transport: transport}).Post(server.URL, "text/plain", strings.NewReader("hi"))
			if err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || string(data) != "hi" || resp.ProtoMajor != want {
				t.Errorf("%s: %q in HTTP/%d, error %v", kind, data, resp.ProtoMajor, err)
			}
		}
	}
}

// Guards against a status that none can have, of which HTTP/2 says nothing.
func TestAStatusInHTTP2ThatNoResponseHasIsMalformed(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(600) }))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	transport := tlsTransports(trusted)["with HTTP/2"]
	defer transport.CloseIdleConnections()
	var malformed *MalformedError
	if err := post(&http.Client{Transport: transport}, server.URL); !errors.As(err, &malformed) {
		t.Errorf("error %v, want a malformed response", err)
	}
}

// Guards against connections whose other side isn't known.
func TestATransportTrustsOnlyCertificatesOfTheHost(t *testing.T) {
	certificate, trusted := identity(t)
	address := serveTLS(t, certificate, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	})
	if err := post(&http.Client{Transport: NewTransport(&http.Transport{})}, address); !errors.As(err, new(x509.UnknownAuthorityError)) {
		t.Errorf("error %v, want an unknown authority", err)
	}
	named := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted, ServerName: "other.example.org", MinVersion: tls.VersionTLS12}}
	if err := post(&http.Client{Transport: NewTransport(named)}, address); !errors.As(err, new(x509.HostnameError)) {
		t.Errorf("error %v, want another host's name", err)
	}
}

// Guards against an endpoint that accepts connections and says nothing.
func TestAHandshakeIsBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	transport := NewTransport(&http.Transport{TLSHandshakeTimeout: 100 * time.Millisecond})
	started := time.Now()
	err = post(&http.Client{Transport: transport, Timeout: 5 * time.Second}, "https://"+listener.Addr().String())
	if elapsed := time.Since(started); err == nil || elapsed > time.Second {
		t.Errorf("error %v after %v", err, elapsed)
	}
}

// startTunnels starts a proxy that connects its clients to any address.
func startTunnels(t *testing.T) *url.URL {
	t.Helper()
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target, err := net.Dial("tcp", r.Host)
		if err != nil {
			t.Error(err)
			return
		}
		client, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(client, "HTTP/1.1 200 OK\r\n\r\n")
		go func() { _, _ = io.Copy(target, client); _ = target.Close() }()
		go func() { _, _ = io.Copy(client, target); _ = client.Close() }()
	}))
	t.Cleanup(proxy.Close)
	address, err := url.Parse(proxy.URL)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func TestAStatusThroughAProxyThatNoResponseHasIsMalformed(t *testing.T) {
	certificate, trusted := identity(t)
	proxy := startTunnels(t)
	for status, ok := range map[string]bool{"000 Trouble": false, "600 Trouble": false, "200 OK": true} {
		address := serveTLS(t, certificate, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nhi")
		})
		transport := NewTransport(&http.Transport{
			Proxy: http.ProxyURL(proxy), TLSClientConfig: &tls.Config{RootCAs: trusted, MinVersion: tls.VersionTLS12}, DisableKeepAlives: true,
		})
		err := post(&http.Client{Transport: transport}, address)
		var malformed *MalformedError
		if errors.As(err, &malformed) == ok || ok && err != nil {
			t.Errorf("status %s: error %v", status, err)
		}
	}
}
