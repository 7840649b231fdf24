package secure

import (
	"crypto/tls"
	"net"
	"testing"

	"github.com/pkg/errors"

	"jackdawswitch/config"
	"jackdawswitch/settings"
)

// serialOf returns the serial number of the peer's certificate.
func serialOf(conn net.Conn) int64 {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return 0
	}
	return secured.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestKeyringFindsTheWorkspaceOfAKey(t *testing.T) {
	doc := &config.Document{}
	doc.Register.Workspaces = []config.Workspace{
		{ID: "coffee", KeyHashes: []string{HashSecret("k1"), HashSecret("k2")}},
		{ID: "ice", KeyHashes: []string{HashSecret("k3"), "broken"}},
	}
	keyring := NewKeyring(doc)
	for key, want := range map[string]string{"k1": "coffee", "k2": "coffee", "k3": "ice", "k4": "", "": "", "broken": ""} {
		got, ok := keyring.Workspace(key)
		if got != want || ok != (want != "") {
			t.Errorf("key %q: got %q, %v, want %q", key, got, ok, want)
		}
	}
}

func TestTokenMatches(t *testing.T) {
	hash := HashSecret("secret")
	for header, want := range map[string]bool{
		"Bearer secret": true, "bearer secret": true, "Bearer  secret ": true,
		"secret": false, "Bearer": false, "Bearer ": false, "Basic secret": false, "Bearer other": false, "": false,
	} {
		if got := TokenMatches(header, hash); got != want {
			t.Errorf("header %q: TokenMatches returned %v", header, got)
		}
	}
	if TokenMatches("Bearer secret", "") || TokenMatches("Bearer secret", "zz") {
		t.Error("the token matched an invalid hash")
	}
}

func TestCredentialsFromTheEnvironment(t *testing.T) {
	dir := t.TempDir()
	paths := newAuthority(t, dir).issue(t, "process", 2)
	key, err := readPEM("key", paths.Key)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("JACKDAW_TEST_KEY", string(key))
	paths.Key = "env:JACKDAW_TEST_KEY"
	if _, err := LoadCredentials(paths, nil); err != nil {
		t.Error(err)
	}
	for _, broken := range []settings.TLS{
		{Certificate: paths.Certificate, Key: "env:JACKDAW_TEST_NONE", Authority: paths.Authority},
		{Certificate: paths.Certificate, Key: paths.Certificate, Authority: paths.Authority},
		{Certificate: paths.Certificate, Key: paths.Key, Authority: dir},
		{Certificate: dir + "/none", Key: paths.Key, Authority: paths.Authority},
	} {
		_, err := LoadCredentials(broken, nil)
		var want *CredentialError
		if !errors.As(err, &want) {
			t.Errorf("%+v: got %v, want a CredentialError", broken, err)
		}
	}
}
