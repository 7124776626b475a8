package link

import (
	"errors"
	"net"
	"syscall"
)

// writeAvailable writes as much of a request as the kernel accepts without blocking, and returns the rest.
func writeAvailable(conn net.Conn, request net.Buffers) (net.Buffers, error) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return request, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return request, err
	}
	for len(request) > 0 {
		n, err := writeOnce(raw, request[0])
		if errors.Is(err, syscall.EAGAIN) {
			return request, nil
		}
		if err != nil {
			return request, err
		}
		request[0] = request[0][n:]
		if len(request[0]) == 0 {
			request = request[1:]
		}
	}
	return nil, nil
}

// writeOnce makes one write call that does not block, and repeats it only if a signal interrupts it.
func writeOnce(raw syscall.RawConn, data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	var n int
	var writeErr error
	err := raw.Write(func(fd uintptr) bool {
		for {
			n, writeErr = syscall.Write(int(fd), data)
			if !errors.Is(writeErr, syscall.EINTR) {
				return true
			}
		}
	})
	if err != nil {
		return 0, err
	}
	return n, writeErr
}
