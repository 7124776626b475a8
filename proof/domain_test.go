package proof

import (
	"syscall"
	"testing"
)

// backlog bounds the connections that wait for a proxy to accept them.
const backlog = 128

// ways are where other domains reach one entry's peer address, each through a proxy of its own.
type ways struct {
	near *proxy
	far  map[string]*proxy
}

// newWays starts a proxy for each domain but the entry's own. They lead to near, which the own domain uses, so that what
// is done there holds for all.
func newWays(t testing.TB, near *proxy, own string, domains []string) ways {
	w := ways{near: near, far: map[string]*proxy{}}
	for _, domain := range domains {
		if domain != own {
			w.far[domain] = newProxy(t, near.address)
		}
	}
	return w
}

func (w ways) from(domain string) *proxy {
	if far, other := w.far[domain]; other {
		return far
	}
	return w.near
}

// listen takes a proxy's port out of use or puts it back. The port stays the proxy's own all the while.
func (p *proxy) listen(on bool) {
	raw, err := p.port.SyscallConn()
	if err != nil {
		panic(err)
	}
	_ = raw.Control(func(fd uintptr) {
		if on {
			err = syscall.Listen(int(fd), backlog)
			return
		}
		err = syscall.Shutdown(int(fd), syscall.SHUT_RDWR)
	})
	if err != nil {
		panic(err)
	}
	if on {
		go p.accept(p.port)
	}
}

// cutPlatform does the same to every instance's way to the platform in some domains.
func (s *system) cutPlatform(m mode, domains ...string) {
	for _, domain := range domains {
		for _, member := range s.in(domain) {
			member.platformProxy.set(m)
		}
	}
}

// cutDomains does the same to every way between some domains and all others.
func (s *system) cutDomains(m mode, domains ...string) {
	for _, domain := range domains {
		for _, member := range s.members {
			if member.domain != domain {
				member.ways.from(domain).set(m)
				continue
			}
			for _, far := range member.ways.far {
				far.set(m)
			}
		}
	}
}

// in returns the instances of a domain.
func (s *system) in(domain string) []*member {
	var list []*member
	for _, m := range s.members {
		if m.domain == domain {
			list = append(list, m)
		}
	}
	return list
}
