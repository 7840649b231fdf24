package outbound

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
)

// http2 is the name of HTTP/2 in TLS.
const http2 = "h2"

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked opens a Conn.
func (dial dialFunc) checked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

// withTLS returns a function that opens a connection with TLS, by the settings of a transport. It is a Conn
// unless both sides agreed on HTTP/2, which the transport finds only on a *tls.Conn.
func (dial dialFunc) withTLS(settings *http.Transport) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if settings.TLSHandshakeTimeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, settings.TLSHandshakeTimeout)
			defer cancel()
		}
		secured := tls.Client(conn, tlsConfig(settings, address))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		if secured.ConnectionState().NegotiatedProtocol == http2 {
			return secured, nil
		}
		return NewConn(secured), nil
	}
}

// tlsConfig returns the configuration for connections to an address, by the settings of a transport. The
// certificate must be that of the host, unless the settings name another.
func tlsConfig(settings *http.Transport, address string) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if settings.TLSClientConfig != nil {
		config = settings.TLSClientConfig.Clone()
	}
	if settings.TLSNextProto[http2] == nil {
		// http.Transport.Clone enables HTTP/2 in the settings that it copies, but not in the copy.
		config.NextProtos = slices.DeleteFunc(slices.Clone(config.NextProtos), func(name string) bool { return name == http2 })
	}
	if config.ServerName == "" {
		// An address that has no port is a host.
		config.ServerName = address
		if host, _, err := net.SplitHostPort(address); err == nil {
			config.ServerName = host
		}
	}
	return config
}
