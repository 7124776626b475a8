// Package operator serves the HTTP API of an entry for operators.
package operator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cowslipshunt.example/entry/peer"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Operator is a person or program that may use this API.
type Operator struct {
	// Name is recorded in the audit trail.
	Name string
	// TokenDigest is the digest of the operator's bearer token.
	TokenDigest wire.Digest
}

// DocumentApplier puts an accepted document in force in this entry.
type DocumentApplier interface {
	// Apply puts the document in force if it is newer than the current one, and reports whether it is valid.
	Apply(version wire.DocumentVersion, digest wire.Digest, text []byte) bool
}

// Server answers the requests of operators.
type Server struct {
	self      wire.Hello
	operators []Operator
	peers     []peer.Entry
	store     *platform.Client
	current   *document.Current
	applier   DocumentApplier
	control   *peer.Control
	directory *endpoint.Directory
	linked    func() []wire.Hello
	clock     clockwork.Clock
	logger    *log.Logger
}

// Dependencies are the settings and the components that a Server needs.
type Dependencies struct {
	Self      wire.Hello
	Operators []Operator
	Peers     []peer.Entry
	Store     *platform.Client
	Current   *document.Current
	Applier   DocumentApplier
	Control   *peer.Control
	Directory *endpoint.Directory
	Linked    func() []wire.Hello
	Clock     clockwork.Clock
	Logger    *log.Logger
}

// NewServer returns a Server with the dependencies d.
func NewServer(d Dependencies) *Server {
	return &Server{
		self:      d.Self,
		operators: d.Operators,
		peers:     d.Peers,
		store:     d.Store,
		current:   d.Current,
		applier:   d.Applier,
		control:   d.Control,
		directory: d.Directory,
		linked:    d.Linked,
		clock:     d.Clock,
		logger:    d.Logger,
	}
}

// Router returns the handler of the API.
func (s *Server) Router() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/document", s.authenticate(s.showDocument))
	router.Get("/v1/document/history", s.authenticate(s.showHistory))
	router.Post("/v1/document", s.authenticate(s.submit))
	router.Get("/v1/status", s.authenticate(s.showStatus))
	router.Get("/v1/audit", s.authenticate(s.showAudit))
	router.Get("/v1/orders", s.authenticate(s.showOrders))
	router.Get("/v1/usage", s.authenticate(s.showUsage))
	return router
}

// handler answers a request of the operator with that name.
type handler func(w http.ResponseWriter, r *http.Request, operator string)

// authenticate returns a handler that calls h with the operator's name if the bearer token belongs to an operator.
func (s *Server) authenticate(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := document.KeyDigest(strings.TrimSpace(token))
		for _, o := range s.operators {
			if o.TokenDigest == digest {
				h(w, r, o.Name)
				return
			}
		}
		problem.New(http.StatusUnauthorized, problem.NotRun, "the operator's token is missing or unknown").Write(w)
	}
}

// writeJSON answers with v, encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeStoreError answers that a call of the platform's store failed.
func writeStoreError(w http.ResponseWriter, err error) {
	problem.New(http.StatusServiceUnavailable, problem.NotRun, "the platform's store cannot be asked: %v", err).After(storeRetryAfter).Write(w)
}

// storeRetryAfter is the delay suggested to operators while the store is unavailable.
const storeRetryAfter = 5 * time.Second
