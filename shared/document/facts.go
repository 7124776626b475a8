package document

import (
	"slices"
	"strings"
)

func (m Model) facts() []fact {
	capabilities := slices.Sorted(slices.Values(m.Capabilities))
	repeatable := newFact("Repeatable", m.MayRepeat())
	repeatable.Default = m.MayRepeat()
	return []fact{
		newFact("Version", m.Version),
		newFact("PromptPrice", m.PromptPrice),
		newFact("OutputPrice", m.OutputPrice),
		repeatable,
		newFact("MaxOutput", m.MaxOutput),
		newFact("Capabilities", strings.Join(capabilities, ",")),
	}
}

func (k EndpointKind) facts() []fact {
	return []fact{
		newFact("Serves", k.Serves),
		newFact("Model", k.Model),
		newFact("Service", k.Service),
		newFact("Cheap", k.Cheap),
		newFact("ChecksFencing", k.ChecksFencing),
		newFact("Concurrency", k.Concurrency),
	}
}

func (r Route) facts() []fact {
	return []fact{
		newFact("Repeatable", r.Repeatable),
		newFact("Open", r.Open),
		newFact("Price", r.Price),
	}
}

func (w Workspace) facts() []fact {
	return []fact{
		newFact("Weight", w.Weight),
		newFact("MaxConcurrent", w.MaxConcurrent),
		newFact("MaxCostPerHour", w.MaxCostPerHour),
		newFact("KeyValidSeconds", w.KeyValidSeconds),
	}
}
