// Package secure implements authentication: mutual TLS between processes of the
// system, the operators' token, and the API keys of workspaces. The token and
// the API keys are stored as hashes.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"jackdawswitch/settings"
)

const (
	// envPrefix marks a setting that is the name of an environment variable
	// rather than a file.
	envPrefix = "env:"

	// reloadInterval is the minimum time between two checks for changed files.
	reloadInterval = time.Second
)

// Credentials are the certificate and private key of a process, and the
// certificate authority (CA) that signs the certificates of all processes. They
// are reloaded when a file changes.
type Credentials struct {
	paths  settings.TLS
	logger *slog.Logger

	mu          sync.Mutex
	lastCheck   time.Time
	versions    [3]fileVersion
	current     keyMaterial
	reloads     int64
	lastFailure string
}

// keyMaterial is one consistent version of the credentials.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// fileVersion identifies a version of a file, to detect changes.
type fileVersion struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads the credentials from the files and environment variables
// in the settings. It returns a *CredentialError if they can't be used. A nil
// logger discards the log.
func LoadCredentials(paths settings.TLS, logger *slog.Logger) (*Credentials, error) {
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	c := &Credentials{paths: paths, logger: logger, lastCheck: time.Now()}
	c.versions = c.fileVersions()
	current, err := readKeyMaterial(paths)
	if err != nil {
		return nil, err
	}
	c.current = current
	return c, nil
}

func readKeyMaterial(paths settings.TLS) (keyMaterial, error) {
	certificate, err := readPEM("certificate", paths.Certificate)
	if err != nil {
		return keyMaterial{}, err
	}
	key, err := readPEM("key", paths.Key)
	if err != nil {
		return keyMaterial{}, err
	}
	authority, err := readPEM("authority", paths.Authority)
	if err != nil {
		return keyMaterial{}, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return keyMaterial{}, &CredentialError{Item: "certificate", Source: paths.Certificate, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		cause := &MissingError{What: "certificate in PEM form"}
		return keyMaterial{}, &CredentialError{Item: "authority", Source: paths.Authority, Cause: cause}
	}
	return keyMaterial{certificate: pair, authority: pool}, nil
}

// readPEM returns the content of the file or environment variable source.
func readPEM(item, source string) ([]byte, error) {
	name, fromEnv := strings.CutPrefix(source, envPrefix)
	if fromEnv {
		value, ok := os.LookupEnv(name)
		if !ok {
			return nil, &CredentialError{Item: item, Source: source, Cause: &MissingError{What: "such environment variable"}}
		}
		return []byte(value), nil
	}
	data, err := os.ReadFile(source)
	if err != nil {
		return nil, &CredentialError{Item: item, Source: source, Cause: err}
	}
	return data, nil
}

// fileVersions returns the versions of the certificate, key and CA files; the
// zero value stands for a missing file and for an environment variable.
func (c *Credentials) fileVersions() [3]fileVersion {
	var versions [3]fileVersion
	for i, path := range []string{c.paths.Certificate, c.paths.Key, c.paths.Authority} {
		if strings.HasPrefix(path, envPrefix) {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

// latest returns the current credentials, after reloading them if the files have
// changed. It checks the files at most once per reloadInterval. If the new files
// can't be used, for example because the matching key is not written yet, the
// previous credentials stay in use and the next check tries again.
func (c *Credentials) latest() keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < reloadInterval {
		return c.current
	}
	c.lastCheck = time.Now()
	versions := c.fileVersions()
	if versions == c.versions {
		return c.current
	}
	reloaded, err := readKeyMaterial(c.paths)
	if err != nil {
		c.lastFailure = err.Error()
		c.logger.Warn("TLS credentials can't be reloaded; the previous ones stay in use", "error", err.Error())
		return c.current
	}
	c.current, c.versions, c.lastFailure = reloaded, versions, ""
	c.reloads++
	c.logger.Info("TLS credentials reloaded", "expires", reloaded.certificate.Leaf.NotAfter)
	return c.current
}

// Dump is the state of the credentials for operators.
type Dump struct {
	// Expires is the end of validity of the certificate in use.
	Expires time.Time `json:"expires"`
	Reloads int64     `json:"reloads"`
	// Failure is the error of the last reload; empty if it succeeded.
	Failure string `json:"failure,omitempty"`
}

// Dump returns the state of the credentials. It contains no secrets.
func (c *Credentials) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Dump{Expires: c.current.certificate.Leaf.NotAfter, Reloads: c.reloads, Failure: c.lastFailure}
}
