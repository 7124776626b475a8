package channel

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/problem"
	"github.com/VictoriaMetrics/metrics"
)

// MinSecretBytes is the minimum length of a Secret.
const MinSecretBytes = 16

var requestsRefused = metrics.NewCounter("peer_refused_total")

// Secret is the secret that the instances of one deployment share. It proves that a request comes from an instance of the same
// deployment.
type Secret string

// Option configures a Hub.
type Option func(*Hub)

// WithSecret makes a hub send the secret with each link that it dials.
func WithSecret(s Secret) Option {
	return func(h *Hub) {
		h.secret = s
	}
}

// SetHeader puts the secret into a request's header.
func (s Secret) SetHeader(h http.Header) {
	h.Set(caller.HeaderPeerSecret, string(s))
}

// Guard returns a handler that passes requests with the secret to next and rejects all others with status 403. An empty secret
// rejects all requests.
func (s Secret) Guard(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(caller.HeaderPeerSecret)))
		if s == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			requestsRefused.Inc()
			problem.New(http.StatusForbidden, problem.NotRun, "the peers' secret is missing or wrong").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
