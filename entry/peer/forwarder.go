package peer

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
)

// PathForward is where an entry takes requests that a peer let in; the caller's path follows.
const PathForward = "/forward"

const (
	retryAfter = 2 * time.Second
)

// Bounds of finding a peer that takes a request.
const (
	// dialTimeout bounds one connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// maxUnreachableTime bounds the time that one request loses to peers out of reach.
	maxUnreachableTime = time.Second
	// failurePause is how long a peer that failed is left alone.
	failurePause = 2 * time.Second
)

var (
	forwarded     = metrics.NewCounter("entry_forwarded_total")
	forwardFailed = metrics.NewCounter("entry_forward_failed_total")
)

// Address is a peer as the settings name it.
type Address struct {
	Instance wire.InstanceName
	Domain   wire.DomainName
	// Address is where the peer listens for peers.
	Address string
}

// Links are the control links to peers.
type Links interface {
	// Links returns the peers that are linked now.
	Links() []wire.Hello
}

// Forwarder passes requests on to entries of other failure domains.
type Forwarder struct {
	self      wire.Hello
	peers     []Address
	secret    channel.Secret
	links     Links
	transport http.RoundTripper
	clock     clockwork.Clock

	mu sync.Mutex
	// pausedUntil holds until when a peer that failed is left alone.
	pausedUntil map[wire.InstanceName]time.Time
}

// NewForwarder returns a forwarder to those peers that are in another failure domain; they take only what carries secret.
func NewForwarder(self wire.Hello, peers []Address, secret channel.Secret, links Links, clock clockwork.Clock, answerWithin time.Duration) *Forwarder {
	transport := caller.NewOnceTransport(answerWithin)
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	f := &Forwarder{self: self, secret: secret, links: links, transport: transport, clock: clock, pausedUntil: map[wire.InstanceName]time.Time{}}
	for _, p := range peers {
		if p.Domain != self.Domain {
			f.peers = append(f.peers, p)
		}
	}
	return f
}

// Forward tries peers until one takes the request. It goes on to the next only while nothing can have run, and gives up
// when peers out of reach have cost the request too much time.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, v *visit.Request, body []byte) *problem.Problem {
	var lost time.Duration
	for _, to := range f.shuffledPeers() {
		if lost >= maxUnreachableTime {
			break
		}
		if f.paused(to) {
			continue
		}
		began := f.clock.Now()
		answer, err := f.send(r, v, body, to)
		if err != nil && r.Context().Err() == nil {
			f.pausePeer(to)
		}
		if err != nil && caller.NeverSent(err) {
			lost += f.clock.Since(began)
			continue
		}
		if err != nil {
			v.Log.Warn().Err(err).Str("Peer", string(to.Instance)).Msg("forwarding failed")
			return problem.New(http.StatusBadGateway, problem.Unknown, "the answer from another failure domain was lost")
		}
		if rejectedNotRun(answer) {
			answer.Body.Close()
			continue
		}
		forwarded.Inc()
		f.copyResponse(w, answer)
		return nil
	}
	return problem.New(http.StatusServiceUnavailable, problem.NotRun, "no failure domain in reach serves this").After(retryAfter)
}

// shuffledPeers returns the peers in a random shuffledPeers, those with a control link first: a link ends soon after its peer is out of
// reach.
func (f *Forwarder) shuffledPeers() []Address {
	linked := map[wire.InstanceName]bool{}
	for _, hello := range f.links.Links() {
		linked[hello.Instance] = true
	}
	var first, last []Address
	for _, i := range rand.Perm(len(f.peers)) {
		if linked[f.peers[i].Instance] {
			first = append(first, f.peers[i])
			continue
		}
		last = append(last, f.peers[i])
	}
	return append(first, last...)
}

// pausePeer leaves a peer alone for a while.
func (f *Forwarder) pausePeer(peer Address) {
	forwardFailed.Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pausedUntil[peer.Instance] = f.clock.Now().Add(failurePause)
}

func (f *Forwarder) paused(peer Address) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.pausedUntil[peer.Instance])
}

// rejectedNotRun tells that a peer did not take a request: it has no room for it, or holds another secret.
func rejectedNotRun(answer *http.Response) bool {
	if answer.Header.Get(caller.HeaderOutcome) != string(problem.NotRun) {
		return false
	}
	return answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusForbidden
}

func (f *Forwarder) send(r *http.Request, v *visit.Request, body []byte, to Address) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: to.Address, Path: PathForward + r.URL.Path, RawQuery: caller.CleanQuery(r.URL.RawQuery, v.Key)}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	out.Header = caller.CleanHeader(r.Header, v.Key)
	out.Header.Set(caller.HeaderRequest, string(v.ID))
	out.Header.Set(caller.HeaderWorkspace, string(v.Workspace.Name))
	f.secret.Set(out.Header)
	caller.SetOnceBody(out, body)
	return f.transport.RoundTrip(out)
}

// copyResponse passes an answer on; one that ends early aborts the caller's connection.
func (f *Forwarder) copyResponse(w http.ResponseWriter, answer *http.Response) {
	defer answer.Body.Close()
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	if caller.Stream(w, answer.Body) != nil {
		panic(http.ErrAbortHandler)
	}
}
