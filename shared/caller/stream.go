package caller

import (
	"errors"
	"io"
	"net/http"
)

// streamBufferBytes is the size of the buffer for reading an answer's body.
const streamBufferBytes = 32 << 10

// ErrCallerDisconnected means that the answer could not be written, because the caller has disconnected.
var ErrCallerDisconnected = errors.New("the caller disconnected")

// Stream copies an answer's body to the caller, flushing after each read, and returns nil when it is complete. After an error the
// caller's connection has to be aborted, so that the caller does not take the answer for a complete one.
func Stream(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return ErrCallerDisconnected
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
