// Package capacity contains the benchmarks behind docs/CAPACITY.md: the CPU time and
// bytes of each control call, and the memory of each item that a process keeps.
// Most benchmarks measure four or more sizes, fit a line to the results and print
// its intercept, slope and R². They need loopback TCP only:
//
//	go test ./capacity -run xxx -bench . -benchtime 1x
package capacity
