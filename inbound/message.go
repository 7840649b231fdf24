package inbound

const (
	// ordinaryMessageBytes is the size of a message up to which it doesn't count to the memory for
	// messages.
	ordinaryMessageBytes = 16 << 10

	// messageByteCost is the memory of a message for each of its bytes: the buffer into which it is
	// read grows by doubling. drpc keeps the buffer until over smallRun messages in a row took less
	// than a quarter of it.
	messageByteCost = 2
	smallRun        = 10
	smallShare      = 4

	// maxFrameBytes is the size of the largest frame into which drpc splits a message.
	maxFrameBytes = 64 << 10

	// Of the first byte of a frame, doneBit is set in the last one of a message.
	doneBit = 1
	// frameNumbers is the number of variable-length numbers after it: the IDs of stream and message
	// and the length of the data. moreBit is set in all bytes of a number but the last, numberBits
	// are the others.
	frameNumbers = 3
	moreBit      = 0x80
	numberBits   = 7
	maxShift     = 63
)

// messageScanner follows the messages of a drpc connection. It is pure.
type messageScanner struct {
	// size is the number of bytes of the message so far.
	size int64
	// inFrame is set within a frame, done if that is the last one of its message.
	inFrame, done bool
	// numbers is how many numbers of the frame were read, shift the position within the next one.
	numbers, shift int
	// left is the length of the data of the frame that wasn't read yet, as far as it is known.
	left uint64
	// frameTooLarge is set if a frame is larger than those of drpc.
	frameTooLarge bool
	// kept is the size of the largest message whose buffer is still kept, small the number of small
	// messages since then.
	kept  int64
	small int
}

// scan follows further bytes of the connection.
func (s *messageScanner) scan(data []byte) {
	for len(data) > 0 {
		if s.numbers == frameNumbers {
			n := int(min(s.left, uint64(len(data))))
			s.left -= uint64(n)
			s.size += int64(n)
			data = data[n:]
		} else {
			s.scanHeader(data[0])
			data = data[1:]
		}
		s.endFrame()
	}
}

func (s *messageScanner) scanHeader(b byte) {
	s.size++
	if !s.inFrame {
		s.inFrame, s.done = true, b&doneBit != 0
		return
	}
	if s.numbers == frameNumbers-1 {
		s.left |= uint64(b&^moreBit) << min(s.shift, maxShift)
	}
	s.shift += numberBits
	if b&moreBit == 0 {
		s.numbers++
		s.shift = 0
		s.frameTooLarge = s.frameTooLarge || s.left > maxFrameBytes
	}
}

// endFrame begins the next frame if all of this one was read, and the next message if it was the last
// frame.
func (s *messageScanner) endFrame() {
	if s.numbers < frameNumbers || s.left > 0 {
		return
	}
	done := s.done
	s.inFrame, s.done, s.numbers = false, false, 0
	if done {
		s.endMessage()
	}
}

// endMessage follows the buffer that is kept for the next message.
func (s *messageScanner) endMessage() {
	s.small++
	if s.size >= s.kept/smallShare {
		s.small = 0
	}
	s.kept = max(s.kept, s.size)
	if s.small > smallRun {
		s.kept, s.small = s.size, 0
	}
	s.size = 0
}

// between reports whether no message is incomplete.
func (s *messageScanner) between() bool { return s.size == 0 }

// cost returns the memory of the messages in bytes, 0 for ordinary ones.
func (s *messageScanner) cost() int64 {
	return max(s.size-ordinaryMessageBytes, s.kept-ordinaryMessageBytes, 0) * messageByteCost
}
