// Package e2e contains end-to-end tests. Most of them start routers and agents as
// separate processes, which are killed, paused and drained, against stand-ins of the
// platform and the engines inside the test process.
package e2e
