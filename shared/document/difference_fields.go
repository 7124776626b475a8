package document

import (
	"slices"
	"strings"
)

func (m Model) itemFields() []itemField {
	capabilities := slices.Sorted(slices.Values(m.Capabilities))
	repeatable := newItemField("Repeatable", m.IsRepeatable())
	repeatable.IsDefault = m.IsRepeatable()
	return []itemField{
		newItemField("Version", m.Version),
		newItemField("PromptPrice", m.PromptPrice),
		newItemField("OutputPrice", m.OutputPrice),
		repeatable,
		newItemField("MaxOutput", m.MaxOutput),
		newItemField("Capabilities", strings.Join(capabilities, ",")),
	}
}

func (k EndpointKind) itemFields() []itemField {
	return []itemField{
		newItemField("Serves", k.Serves),
		newItemField("Model", k.Model),
		newItemField("Service", k.Service),
		newItemField("Cheap", k.Cheap),
		newItemField("ChecksFencing", k.ChecksFencing),
		newItemField("Concurrency", k.Concurrency),
	}
}

func (r Route) itemFields() []itemField {
	return []itemField{
		newItemField("Repeatable", r.Repeatable),
		newItemField("Open", r.Open),
		newItemField("Price", r.Price),
	}
}

func (w Workspace) itemFields() []itemField {
	return []itemField{
		newItemField("Weight", w.Weight),
		newItemField("MaxConcurrent", w.MaxConcurrent),
		newItemField("MaxCostPerHour", w.MaxCostPerHour),
		newItemField("KeyValidSeconds", w.KeyValidSeconds),
	}
}
