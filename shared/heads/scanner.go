package heads

import "bytes"

// scanner finds the end of a head and counts its bytes and lines. The zero value begins a head.
type scanner struct {
	bytes int64
	// begun is set once a line that is not empty was seen, ended once the empty line that ends the head was.
	begun, ended bool
	// content is set if the present line has a byte that is not a carriage return.
	content bool
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
		if i < 0 {
			n = len(p)
			break
		}
		n += i + 1
		lines++
		s.ended = s.begun && !s.content
		s.content = false
	}
	s.bytes += int64(n)
	return n, lines
}
