package quota_test

import (
	"math"
	"testing"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/route"
)

// TestCostOfOddCounts guards against costs that are negative or overflow, which would fill a bucket or empty it for good.
func TestCostOfOddCounts(t *testing.T) {
	tokens := route.Quota{Unit: route.Tokens, PlainCost: 700}
	cases := []struct {
		tokens, output int
		want           float64
	}{
		{9200, 25, 9225}, {0, 0, 700}, {-1, 25, 700}, {10, -5, 700}, {math.MaxInt, math.MaxInt, 700}, {1 << 20, 1 << 20, 1 << 20},
	}
	for _, c := range cases {
		p := placement.NewPrompt(c.tokens, c.output, nil)
		if got := quota.CostOf(tokens, &p); got != (quota.Cost{Unit: route.Tokens, Amount: c.want}) {
			t.Errorf("%d, %d: %+v, want %v tokens", c.tokens, c.output, got, c.want)
		}
		if got := quota.CostOf(route.Quota{}, &p); got != (quota.Cost{Amount: 1}) {
			t.Errorf("%d, %d: %+v, want one request", c.tokens, c.output, got)
		}
	}
}
