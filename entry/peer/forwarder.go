package peer

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
)

// PathForward is where an entry takes requests that a peer let in; the caller's path follows.
const PathForward = "/forward"

const (
	copyBuffer = 32 << 10
	retryAfter = 2 * time.Second
)

var forwarded = metrics.NewCounter("entry_forwarded_total")

// Address is a peer as the settings name it.
type Address struct {
	Instance wire.InstanceName
	Domain   wire.DomainName
	// Address is where the peer listens for peers.
	Address string
}

// Forwarder passes requests on to entries of other failure domains.
type Forwarder struct {
	self      wire.Hello
	peers     []Address
	secret    channel.Secret
	transport http.RoundTripper
}

// NewForwarder returns a forwarder to those peers that are in another failure domain; they take only what carries secret.
func NewForwarder(self wire.Hello, peers []Address, secret channel.Secret, answerWithin time.Duration) *Forwarder {
	f := &Forwarder{self: self, secret: secret, transport: caller.NewOnceTransport(answerWithin)}
	for _, p := range peers {
		if p.Domain != self.Domain {
			f.peers = append(f.peers, p)
		}
	}
	return f
}

// Forward tries peers in a random order until one takes the request. It goes on to the next only while nothing can have
// run.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, v *visit.Visit, body []byte) *problem.Problem {
	last := problem.New(http.StatusServiceUnavailable, problem.NotRun, "no failure domain in reach serves this").After(retryAfter)
	for _, i := range rand.Perm(len(f.peers)) {
		answer, err := f.send(r, v, body, f.peers[i])
		if err != nil && caller.NeverSent(err) {
			continue
		}
		if err != nil {
			v.Log.Warn().Err(err).Str("Peer", string(f.peers[i].Instance)).Msg("forwarding failed")
			return problem.New(http.StatusBadGateway, problem.Unknown, "the answer from another failure domain was lost")
		}
		if refusedUnrun(answer) {
			answer.Body.Close()
			continue
		}
		forwarded.Inc()
		f.copy(w, answer)
		return nil
	}
	return last
}

// refusedUnrun tells that a peer did not take a request: it has no room for it, or holds another secret.
func refusedUnrun(answer *http.Response) bool {
	if answer.Header.Get(caller.HeaderOutcome) != string(problem.NotRun) {
		return false
	}
	return answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusForbidden
}

func (f *Forwarder) send(r *http.Request, v *visit.Visit, body []byte, to Address) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: to.Address, Path: PathForward + r.URL.Path, RawQuery: caller.CleanQuery(r.URL.RawQuery, v.Key)}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	out.Header = caller.CleanHeader(r.Header, v.Key)
	out.Header.Set(caller.HeaderRequest, string(v.Request))
	out.Header.Set(caller.HeaderWorkspace, string(v.Workspace.Name))
	f.secret.Set(out.Header)
	caller.SetOnceBody(out, body)
	return f.transport.RoundTrip(out)
}

// copy passes an answer on; one that ends early aborts the caller's connection.
func (f *Forwarder) copy(w http.ResponseWriter, answer *http.Response) {
	defer answer.Body.Close()
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
