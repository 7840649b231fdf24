package relay

import "strconv"

// Failure is the reason why a response cannot be completed.
type Failure string

// Failures.
const (
	// FailureLength means that the chunks exceed the announced length.
	FailureLength Failure = "length"
	// FailureChecksum means that the bytes differ from those that the agent sent.
	FailureChecksum Failure = "checksum"
	// FailurePending means that the chunks after a gap exceed MaxPendingBytes.
	FailurePending Failure = "pending"
	// FailureMalformed means that an offset is negative, or that two announced
	// ends differ.
	FailureMalformed Failure = "malformed"
)

// Error is returned when a response cannot be completed.
type Error struct {
	Attempt string
	// Offset is the number of bytes delivered before the failure.
	Offset  int64
	Failure Failure
}

// Error implements error.
func (e *Error) Error() string {
	return "relay: cannot complete response of attempt " + e.Attempt +
		" at byte " + strconv.FormatInt(e.Offset, 10) + ": " + string(e.Failure)
}
