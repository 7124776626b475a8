// Package document holds the operators' document: what is allowed to take effect.
package document

import "cowslipshunt.example/wire"

// Serves tells what stands behind an endpoint kind.
type Serves string

// The two things that an endpoint can serve.
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

// Model is a model in force. Prices are for a thousand tokens.
// Repeatable is true if it is absent. MaxOutput bounds the tokens of one answer; zero is unbounded.
type Model struct {
	Name         wire.ModelName    `toml:",omitempty"`
	Version      wire.ModelVersion `toml:",omitempty"`
	PromptPrice  wire.CostMicros   `toml:",omitempty"`
	OutputPrice  wire.CostMicros   `toml:",omitempty"`
	Repeatable   *bool             `toml:",omitempty"`
	MaxOutput    wire.TokenCount   `toml:",omitempty"`
	Capabilities []string          `toml:",omitempty"`
}

// EndpointKind is a kind of endpoint that may be ordered and used.
type EndpointKind struct {
	Name          wire.EndpointKindName `toml:",omitempty"`
	Serves        Serves                `toml:",omitempty"`
	Model         wire.ModelName        `toml:",omitempty"`
	Service       wire.ServiceName      `toml:",omitempty"`
	Cheap         bool                  `toml:",omitempty"`
	ChecksFencing bool                  `toml:",omitempty"`
	// Concurrency bounds the requests in flight at one endpoint from one entry; zero is the default.
	Concurrency int `toml:",omitempty"`
}

// Fleet is how many endpoints of a kind a failure domain runs.
type Fleet struct {
	Domain wire.DomainName       `toml:",omitempty"`
	Kind   wire.EndpointKindName `toml:",omitempty"`
	Count  int                   `toml:",omitempty"`
}

// Route says how a plain service's paths may be called. The longest matching prefix decides.
type Route struct {
	Service wire.ServiceName `toml:",omitempty"`
	// Prefix is the start of the path behind /services/{service}.
	Prefix string `toml:",omitempty"`
	// Method is empty for any method.
	Method     string `toml:",omitempty"`
	Repeatable bool   `toml:",omitempty"`
	// Open routes need no key.
	Open bool `toml:",omitempty"`
	// Price is charged for each request that ran.
	Price wire.CostMicros `toml:",omitempty"`
}

// Workspace is one customer with its keys and limits.
type Workspace struct {
	Name     wire.WorkspaceName `toml:",omitempty"`
	Models   []wire.ModelName   `toml:",omitempty"`
	Services []wire.ServiceName `toml:",omitempty"`
	// Weight is the workspace's share in a queue; zero is one.
	Weight int `toml:",omitempty"`
	// MaxConcurrent bounds requests in flight at one entry; zero is the default.
	MaxConcurrent int `toml:",omitempty"`
	// MaxCostPerHour is to bound the cost in any clock hour; zero is unbounded. Nothing enforces it yet.
	MaxCostPerHour wire.CostMicros `toml:",omitempty"`
	// KeyValidSeconds is how long keys stay valid where no accepted version can be confirmed; zero is for ever.
	KeyValidSeconds int   `toml:",omitempty"`
	Key             []Key `toml:",omitempty"`
}

// Key is the digest of one API key.
type Key struct {
	Digest wire.Digest `toml:",omitempty"`
	Label  string      `toml:",omitempty"`
}
