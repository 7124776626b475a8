package caller

import (
	"errors"
	"io"
	"net/http"
)

// streamBuffer is the size of one read of an answer's body, in bytes.
const streamBuffer = 32 << 10

// ErrGone says that the caller does not take its answer any more.
var ErrGone = errors.New("the caller left")

// Stream passes an answer's body on as it comes and returns nil once it is whole. After an error the caller's connection
// has to be aborted, so that the answer cannot be taken for a whole one.
func Stream(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return ErrGone
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
