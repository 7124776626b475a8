// Package document defines the configuration document that operators submit, and parses, checks, compares and indexes it.
package document

import "cowslipshunt.example/wire"

// Serves is what the endpoints of a kind serve.
type Serves string

// Values of Serves.
const (
	ServesModel   Serves = "Model"
	ServesService Serves = "Service"
)

// Document is one accepted configuration.
type Document struct {
	Model        []Model        `toml:",omitempty"`
	EndpointKind []EndpointKind `toml:",omitempty"`
	Fleet        []Fleet        `toml:",omitempty"`
	Route        []Route        `toml:",omitempty"`
	Workspace    []Workspace    `toml:",omitempty"`
}

// Model is a model that workspaces may be given access to. Prices are per thousand tokens.
// Repeatable defaults to true. MaxOutput limits the output tokens of one answer; zero means no limit.
type Model struct {
	Name         wire.ModelName    `toml:",omitempty"`
	Version      wire.ModelVersion `toml:",omitempty"`
	PromptPrice  wire.CostMicros   `toml:",omitempty"`
	OutputPrice  wire.CostMicros   `toml:",omitempty"`
	Repeatable   *bool             `toml:",omitempty"`
	MaxOutput    wire.TokenCount   `toml:",omitempty"`
	Capabilities []string          `toml:",omitempty"`
}

// EndpointKind is a kind of endpoint that the system may order from the platform and send requests to.
type EndpointKind struct {
	Name          wire.EndpointKindName `toml:",omitempty"`
	Serves        Serves                `toml:",omitempty"`
	Model         wire.ModelName        `toml:",omitempty"`
	Service       wire.ServiceName      `toml:",omitempty"`
	Cheap         bool                  `toml:",omitempty"`
	ChecksFencing bool                  `toml:",omitempty"`
	// Concurrency limits the requests that one entry has in flight at one endpoint; zero means the default limit.
	Concurrency int `toml:",omitempty"`
}

// Fleet sets how many endpoints of a kind a failure domain runs.
type Fleet struct {
	Domain wire.DomainName       `toml:",omitempty"`
	Kind   wire.EndpointKindName `toml:",omitempty"`
	Count  int                   `toml:",omitempty"`
}

// Route sets how requests to paths of a plain service are handled. The route with the longest matching prefix applies.
type Route struct {
	Service wire.ServiceName `toml:",omitempty"`
	// Prefix is matched against the part of the path after /services/{service}.
	Prefix string `toml:",omitempty"`
	// Method is the HTTP method that the route applies to; empty means any method.
	Method     string `toml:",omitempty"`
	Repeatable bool   `toml:",omitempty"`
	// Open allows requests without an API key.
	Open bool `toml:",omitempty"`
	// Price is charged for each request that was executed.
	Price wire.CostMicros `toml:",omitempty"`
}

// Workspace is one customer with its keys and limits.
type Workspace struct {
	Name     wire.WorkspaceName `toml:",omitempty"`
	Models   []wire.ModelName   `toml:",omitempty"`
	Services []wire.ServiceName `toml:",omitempty"`
	// Weight is the workspace's relative share of a queue; zero counts as one.
	Weight int `toml:",omitempty"`
	// MaxConcurrent limits the workspace's requests in flight at one entry; zero means the default limit.
	MaxConcurrent int `toml:",omitempty"`
	// MaxCostPerHour is the limit on the cost in any clock hour; zero means no limit. It is not enforced yet.
	MaxCostPerHour wire.CostMicros `toml:",omitempty"`
	// KeyValidSeconds is how long an instance that can't confirm the accepted version goes on accepting the keys;
	// zero means for ever.
	KeyValidSeconds int   `toml:",omitempty"`
	Key             []Key `toml:",omitempty"`
}

// Key is an API key, represented by its digest and a label.
type Key struct {
	Digest wire.Digest `toml:",omitempty"`
	Label  string      `toml:",omitempty"`
}
