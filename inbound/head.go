package inbound

import "bytes"

const (
	// ordinaryHeadBytes and ordinaryHeadLines are the size of a head up to which it doesn't count to
	// the memory for heads: the memory of each connection has room for it.
	ordinaryHeadBytes = 4 << 10
	ordinaryHeadLines = 64

	// A head takes headByteCost times its bytes, as it is copied and sent on, and headLineCost bytes
	// for each line, as each becomes an entry of a map, and of its copy.
	headByteCost = 4
	headLineCost = 256
)

// headScanner follows the head of a request. It is pure.
type headScanner struct {
	// size is the number of bytes of the head so far, lines that of its lines.
	size, lines int
	// begun is set once a line that isn't empty began. Empty lines before it aren't part of the head.
	begun bool
	// lineBytes is the length of the line so far, without CRs.
	lineBytes int
	complete  bool
}

// scan follows further bytes of the connection.
func (s *headScanner) scan(data []byte) {
	if !s.begun {
		data = bytes.TrimLeft(data, "\r\n")
		s.begun = len(data) > 0
	}
	for len(data) > 0 && !s.complete {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end]
		}
		s.lineBytes += len(line) - bytes.Count(line, []byte("\r"))
		if end < 0 {
			s.size += len(data)
			return
		}
		s.size += end + 1
		s.lines++
		s.complete = s.lineBytes == 0
		s.lineBytes = 0
		data = data[end+1:]
	}
}

// cost returns the memory of the head in bytes, 0 for an ordinary one.
func (s *headScanner) cost() int64 {
	return int64(max(s.size-ordinaryHeadBytes, 0))*headByteCost + int64(max(s.lines-ordinaryHeadLines, 0))*headLineCost
}
