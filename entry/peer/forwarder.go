package peer

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/link"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
)

// PathForward is the path prefix under which an entry accepts forwarded requests. The path of the caller's request follows.
const PathForward = "/forward"

// retryAfter is the delay suggested to callers if no peer could serve a request.
const retryAfter = 2 * time.Second

// Limits for the search for a peer that accepts a request.
const (
	// dialTimeout bounds the connection set-up to one peer.
	dialTimeout = 500 * time.Millisecond
	// maxUnreachableTime bounds the time that one request spends on unreachable peers. No further peer is tried once it is spent.
	maxUnreachableTime = time.Second
	// failurePause is how long no request is forwarded to a peer after it failed.
	failurePause = 2 * time.Second
)

var (
	forwarded     = metrics.NewCounter("entry_forwarded_total")
	forwardFailed = metrics.NewCounter("entry_forward_failed_total")
)

// Entry is a peer that the settings list.
type Entry struct {
	Instance wire.InstanceName
	Domain   wire.DomainName
	// Address is the host and port at which the peer accepts requests from other entries.
	Address string
}

// Links provides the control links to peers.
type Links interface {
	// Links returns the peers to which a control link is up.
	Links() []wire.Hello
}

// Forwarder forwards requests to entries of other failure domains.
type Forwarder struct {
	self      wire.Hello
	peers     []Entry
	secret    channel.Secret
	links     Links
	transport http.RoundTripper
	clock     clockwork.Clock

	mu sync.Mutex
	// pausedUntil holds the end of the pause of each peer that failed.
	pausedUntil map[wire.InstanceName]time.Time
}

// NewForwarder returns a Forwarder to those peers that are in another failure domain. Peers accept only requests that carry
// secret. headerTimeout bounds the wait for the header of a peer's response.
func NewForwarder(self wire.Hello, peers []Entry, secret channel.Secret, links Links, clock clockwork.Clock, headerTimeout time.Duration) *Forwarder {
	transport := caller.NewSingleUseTransport(headerTimeout)
	transport.DialContext = link.ReportingDial((&net.Dialer{Timeout: dialTimeout}).DialContext)
	f := &Forwarder{self: self, secret: secret, links: links, transport: transport, clock: clock, pausedUntil: map[wire.InstanceName]time.Time{}}
	for _, p := range peers {
		if p.Domain != self.Domain {
			f.peers = append(f.peers, p)
		}
	}
	return f
}

// Forward sends the request to one peer after another until one accepts it, and copies that peer's response to w. It tries the next
// peer only if the request cannot have run, and stops after maxUnreachableTime was spent on unreachable peers. It panics
// with http.ErrAbortHandler if the response ends early.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, admitted *admission.Request, body []byte) *problem.Problem {
	var unreachableTime time.Duration
	for _, peer := range f.shuffledPeers() {
		if unreachableTime >= maxUnreachableTime {
			break
		}
		if f.paused(peer) {
			continue
		}
		start := f.clock.Now()
		resp, err := f.send(r, admitted, body, peer)
		if err != nil && r.Context().Err() == nil {
			f.pausePeer(peer)
		}
		if err != nil && caller.NeverSent(err) {
			unreachableTime += f.clock.Since(start)
			continue
		}
		if err != nil {
			admitted.Log.Warn().Err(err).Str("Peer", string(peer.Instance)).Msg("lost the answer to a forwarded request")
			return problem.New(http.StatusBadGateway, problem.Unknown, "the answer from another failure domain was lost")
		}
		if rejectedNotRun(resp) {
			resp.Body.Close()
			continue
		}
		forwarded.Inc()
		f.copyResponse(w, resp)
		return nil
	}
	return problem.New(http.StatusServiceUnavailable, problem.NotRun, "no failure domain in reach serves this").After(retryAfter)
}

// shuffledPeers returns the peers in random order, those with a control link first. A control link ends soon after its peer
// becomes unreachable.
func (f *Forwarder) shuffledPeers() []Entry {
	linked := map[wire.InstanceName]bool{}
	for _, hello := range f.links.Links() {
		linked[hello.Instance] = true
	}
	var linkedPeers, otherPeers []Entry
	for _, i := range rand.Perm(len(f.peers)) {
		if linked[f.peers[i].Instance] {
			linkedPeers = append(linkedPeers, f.peers[i])
			continue
		}
		otherPeers = append(otherPeers, f.peers[i])
	}
	return append(linkedPeers, otherPeers...)
}

// pausePeer stops forwarding to a peer that failed, for failurePause.
func (f *Forwarder) pausePeer(peer Entry) {
	forwardFailed.Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pausedUntil[peer.Instance] = f.clock.Now().Add(failurePause)
}

// paused reports whether a peer is paused after a failure.
func (f *Forwarder) paused(peer Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.pausedUntil[peer.Instance])
}

// rejectedNotRun reports whether a peer rejected a request without running it, as it has no capacity (503) or uses another secret
// (403).
func rejectedNotRun(resp *http.Response) bool {
	if resp.Header.Get(caller.HeaderOutcome) != string(problem.NotRun) {
		return false
	}
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusForbidden
}

func (f *Forwarder) send(r *http.Request, admitted *admission.Request, body []byte, peer Entry) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: peer.Address, Path: PathForward + r.URL.Path, RawQuery: caller.QueryWithoutKey(r.URL.RawQuery, admitted.Key)}
	forwardReq, err := http.NewRequestWithContext(r.Context(), r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	forwardReq.Header = caller.ForwardableHeader(r.Header, admitted.Key)
	forwardReq.Header.Set(caller.HeaderRequest, string(admitted.ID))
	forwardReq.Header.Set(caller.HeaderWorkspace, string(admitted.Workspace.Name))
	f.secret.SetHeader(forwardReq.Header)
	caller.SetNonReplayableBody(forwardReq, body)
	return f.transport.RoundTrip(forwardReq)
}

// copyResponse copies a peer's response to the caller. If the body ends early, it aborts the caller's connection with
// http.ErrAbortHandler.
func (f *Forwarder) copyResponse(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	if caller.Stream(w, resp.Body) != nil {
		panic(http.ErrAbortHandler)
	}
}
