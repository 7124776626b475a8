package heads

import "bytes"

// scanner finds the end of a head and counts its bytes and lines. The zero value begins a head.
type scanner struct {
	bytes int64
	// begun is set once a line that is not empty was seen, ended once the empty line that ends the head was.
	begun, ended bool
	// content is set if the present line has a byte that is not a carriage return.
	content bool
	// start is the start of the present line if it may be that of one of the fields below, startLen its length.
	start    [len(transferEncoding)]byte
	startLen int
	// hasLength and hasCoding are set once the head has a Content-Length, or a Transfer-Encoding.
	hasLength, hasCoding bool
}

// The fields that say where a body ends. A head with both is refused: a proxy before this server may go by the other one.
const (
	contentLength    = "content-length:"
	transferEncoding = "transfer-encoding:"
)

// conflicting reports whether the head says twice where its body ends.
func (s *scanner) conflicting() bool {
	return s.hasLength && s.hasCoding
}

// keepStart keeps the start of a line.
func (s *scanner) keepStart(line []byte) {
	if s.startLen == len(s.start) || len(line) == 0 {
		return
	}
	if s.startLen == 0 && line[0]|0x20 != 'c' && line[0]|0x20 != 't' {
		// It is none of the fields; the rest of the line is not looked at.
		s.startLen = len(s.start)
		return
	}
	s.startLen += copy(s.start[s.startLen:], line)
}

// endLine looks at the start of the line that ends.
func (s *scanner) endLine() {
	first := s.start[0] | 0x20
	if s.startLen >= len(contentLength) && first == 'c' && bytes.EqualFold(s.start[:len(contentLength)], []byte(contentLength)) {
		s.hasLength = true
	}
	if s.startLen == len(transferEncoding) && first == 't' && bytes.EqualFold(s.start[:], []byte(transferEncoding)) {
		s.hasCoding = true
	}
	s.startLen, s.start[0] = 0, 0
}

// add scans the next bytes, and returns how many of them belong to the head and how many lines end in them. Bytes after the head are not counted.
func (s *scanner) add(p []byte) (n, lines int) {
	for rest := p; len(rest) > 0 && !s.ended; rest = p[n:] {
		i := bytes.IndexByte(rest, '\n')
		line := rest
		if i >= 0 {
			line = rest[:i]
		}
		s.content = s.content || len(line) > 1 || len(line) == 1 && line[0] != '\r'
		s.begun = s.begun || s.content
		s.keepStart(line)
		if i < 0 {
			n = len(p)
			break
		}
		n += i + 1
		lines++
		s.endLine()
		s.ended = s.begun && !s.content
		s.content = false
	}
	s.bytes += int64(n)
	return n, lines
}
