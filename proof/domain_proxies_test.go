package proof

import (
	"syscall"
	"testing"
)

// backlog is the length of a proxy's queue of connections that it has not accepted yet.
const backlog = 128

// domainProxies are the proxies of one entry's peer address: one for its own domain and one for each other domain.
type domainProxies struct {
	local  *proxy
	remote map[string]*proxy
}

// newDomainProxies starts a proxy for each domain but the entry's own. They connect to local, the proxy for the entry's
// own domain, so that its mode applies to all domains.
func newDomainProxies(t testing.TB, local *proxy, ownDomain string, domains []string) domainProxies {
	d := domainProxies{local: local, remote: map[string]*proxy{}}
	for _, domain := range domains {
		if domain != ownDomain {
			d.remote[domain] = newProxy(t, local.address)
		}
	}
	return d
}

func (d domainProxies) fromDomain(domain string) *proxy {
	if remote, ok := d.remote[domain]; ok {
		return remote
	}
	return d.local
}

// setListening starts or stops listening on the proxy's port. The socket stays bound, so that no other program gets the port.
func (p *proxy) setListening(on bool) {
	raw, err := p.listener.SyscallConn()
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
		go p.accept(p.listener)
	}
}

// setPlatformProxies sets the mode of the connections to the platform of all instances in some domains.
func (s *system) setPlatformProxies(to mode, domains ...string) {
	for _, domain := range domains {
		for _, m := range s.in(domain) {
			m.platformProxy.setMode(to)
		}
	}
}

// setCrossDomainProxies sets the mode of all connections between some domains and all others.
func (s *system) setCrossDomainProxies(to mode, domains ...string) {
	for _, domain := range domains {
		for _, m := range s.instances {
			if m.domain != domain {
				m.domainProxies.fromDomain(domain).setMode(to)
				continue
			}
			for _, remote := range m.domainProxies.remote {
				remote.setMode(to)
			}
		}
	}
}

// in returns the instances of a domain.
func (s *system) in(domain string) []*instance {
	var list []*instance
	for _, m := range s.instances {
		if m.domain == domain {
			list = append(list, m)
		}
	}
	return list
}
