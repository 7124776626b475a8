package document

import (
	"slices"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
)

// Parse reads and checks a document's text; file only names it in findings. Its error is a finding.List with everything
// that is wrong. A text that is no TOML or holds a wrong type gives only that finding, as the rest can't be read then.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{}
	places, list := setting.Decode(file, text, d)
	if slices.ContainsFunc(list, unreadable) {
		return nil, list
	}
	list = append(list, check(d, places)...)
	if len(list) > 0 {
		sortByPlace(list)
		return nil, list
	}
	d.normalise()
	return d, nil
}

func unreadable(f finding.Finding) bool {
	return f.Text != setting.UnknownField && f.Text != setting.DuplicateField
}

func sortByPlace(list finding.List) {
	slices.SortStableFunc(list, func(a, b finding.Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// normalise turns empty lists into absent ones, so that equal documents compare equal.
func (d *Document) normalise() {
	d.Model = absent(d.Model)
	d.EndpointKind = absent(d.EndpointKind)
	d.Fleet = absent(d.Fleet)
	d.Route = absent(d.Route)
	d.Workspace = absent(d.Workspace)
	for i := range d.Model {
		d.Model[i].Capabilities = absent(d.Model[i].Capabilities)
	}
	for i := range d.Workspace {
		w := &d.Workspace[i]
		w.Models, w.Services, w.Key = absent(w.Models), absent(w.Services), absent(w.Key)
	}
}

func absent[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
