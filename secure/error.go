package secure

import "fmt"

// CredentialError reports a certificate, key or CA that can't be used.
type CredentialError struct {
	// Item is "certificate", "key" or "authority".
	Item string
	// Source is the file, or the environment variable with the prefix "env:".
	Source string
	Cause  error
}

// Error implements error.
func (e *CredentialError) Error() string {
	return fmt.Sprintf("secure: %s from %s: %v", e.Item, e.Source, e.Cause)
}

// Unwrap returns the cause.
func (e *CredentialError) Unwrap() error { return e.Cause }

// MissingError reports that a required item is missing.
type MissingError struct{ What string }

// Error implements error.
func (e *MissingError) Error() string { return "no " + e.What }

// PeerError reports a failed TLS handshake with the process at Address.
type PeerError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *PeerError) Error() string {
	return fmt.Sprintf("secure: peer %s not accepted: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }
