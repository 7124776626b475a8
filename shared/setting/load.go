package setting

import (
	"os"

	"cowslipshunt.example/shared/finding"
)

// Checker is a settings struct that can check itself.
type Checker interface {
	// Check returns every finding, each placed by p.
	Check(p *Places) finding.List
}

// Load reads and checks a settings file. Its error is a finding.List with everything that is wrong with the file.
func Load(path string, into Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return finding.List{{File: path, Text: err.Error()}}
	}
	places, list := Decode(path, data, into)
	if len(list) > 0 {
		return list.Err()
	}
	return into.Check(places).Err()
}
