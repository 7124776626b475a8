package document

import (
	"slices"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
)

// Parse decodes and checks a document's text; file is only used as the name in findings. Its error is a finding.List with
// everything that is wrong. A text that is not valid TOML or has a value of a wrong type yields only the findings of the decoder,
// as the rest of the text can't be checked then.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{}
	places, list := setting.Decode(file, text, d)
	if slices.ContainsFunc(list, isDecodeFailure) {
		return nil, list
	}
	list = append(list, check(d, places)...)
	if len(list) > 0 {
		sortByPosition(list)
		return nil, list
	}
	d.normalise()
	return d, nil
}

// isDecodeFailure reports whether a finding of setting.Decode means that the text could not be decoded completely.
func isDecodeFailure(f finding.Finding) bool {
	return f.Text != setting.UnknownFieldText && f.Text != setting.DuplicateFieldText
}

func sortByPosition(list finding.List) {
	slices.SortStableFunc(list, func(a, b finding.Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// normalise replaces empty lists by nil, so that reflect.DeepEqual holds for equal documents.
func (d *Document) normalise() {
	d.Model = nilIfEmpty(d.Model)
	d.EndpointKind = nilIfEmpty(d.EndpointKind)
	d.Fleet = nilIfEmpty(d.Fleet)
	d.Route = nilIfEmpty(d.Route)
	d.Workspace = nilIfEmpty(d.Workspace)
	for i := range d.Model {
		d.Model[i].Capabilities = nilIfEmpty(d.Model[i].Capabilities)
	}
	for i := range d.Workspace {
		w := &d.Workspace[i]
		w.Models, w.Services, w.Key = nilIfEmpty(w.Models), nilIfEmpty(w.Services), nilIfEmpty(w.Key)
	}
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
