// Package soak contains long seeded runs of real routers and agents in virtual time.
// Processes are killed, drained, restarted and isolated, and the platform fails,
// while clients retry. Each run checks the responses, the runs at the endpoints and
// the bills; violated invariants of the program panic in tests.
package soak
