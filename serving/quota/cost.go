// Package quota limits what a workspace may request over all instances. Each failure domain has a coordinator for each workspace, which
// grants the requests of the domain's instances from a token bucket and tells the coordinators of the other domains what was spent.
package quota

import (
	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/route"
)

// maxCost is the highest cost of a request, in tokens. Prompts have up to about 100,000 tokens; a larger count is a mistake of the caller.
const maxCost = 1 << 20

// Cost is what a request takes from the quota of its workspace.
type Cost struct {
	Unit   route.Unit
	Amount float64
}

// ValidCounts reports whether the token counts of a prompt can be charged: neither is negative or above maxCost.
func ValidCounts(p *placement.Prompt) bool {
	return p.Tokens >= 0 && p.MaxOutput >= 0 && p.Tokens <= maxCost && p.MaxOutput <= maxCost
}

// CostOf returns the cost of a request with a prompt. Without token counts, or with one that is negative or above maxCost, that is the
// quota's PlainCost. The sum is capped at maxCost.
func CostOf(q route.Quota, p *placement.Prompt) Cost {
	if q.Unit != route.Tokens {
		return Cost{Unit: q.Unit, Amount: 1}
	}
	tokens, output := p.Tokens, p.MaxOutput
	if !ValidCounts(p) || tokens+output == 0 {
		return Cost{Unit: route.Tokens, Amount: q.PlainCost}
	}
	return Cost{Unit: route.Tokens, Amount: float64(min(tokens+output, maxCost))}
}
