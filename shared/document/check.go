package document

import (
	"fmt"
	"regexp"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// firstSeen maps each name to the path of the field in which it first occurred.
type firstSeen[K comparable] map[K]string

// checker validates a document and collects findings.
type checker struct {
	setting.Checks
	d        *Document
	models   map[wire.ModelName]*Model
	kinds    firstSeen[wire.EndpointKindName]
	services map[wire.ServiceName]bool
}

func check(d *Document, places *setting.Places) finding.List {
	c := &checker{
		Checks:   setting.Checks{Places: places},
		d:        d,
		models:   map[wire.ModelName]*Model{},
		kinds:    firstSeen[wire.EndpointKindName]{},
		services: map[wire.ServiceName]bool{},
	}
	c.indexNames()
	c.checkModels()
	c.checkKinds()
	c.checkFleets()
	c.checkRoutes()
	c.checkWorkspaces()
	return c.List
}

// indexNames collects the models and services that other fields may refer to. Of several models with one name it uses the first.
func (c *checker) indexNames() {
	for i := range c.d.Model {
		m := &c.d.Model[i]
		if c.models[m.Name] == nil {
			c.models[m.Name] = m
		}
	}
	for _, k := range c.d.EndpointKind {
		if k.Serves == ServesService {
			c.services[k.Service] = true
		}
	}
}

// checkName reports a name that is not safe in paths and keys.
func (c *checker) checkName(field, name string) {
	switch {
	case name == "":
		c.AddFinding(field, "is missing")
	case name == "." || name == "..":
		c.AddFinding(field, "%q cannot be a name", name)
	case !namePattern.MatchString(name):
		c.AddFinding(field, "%q may contain only letters, digits, '-', '_' and '.'", name)
	}
}

// checkUnique reports a name that occurred before. An empty name is ignored, as it has a finding of its own where one is required.
func checkUnique[K comparable](c *checker, seen firstSeen[K], field string, name K) {
	var zero K
	if name == zero {
		return
	}
	if first, ok := seen[name]; ok {
		c.AddFinding(field, "%v is already given at %s", name, first)
		return
	}
	seen[name] = field
}

// checkNotNegative reports a negative number.
func checkNotNegative[N ~int](c *checker, field string, n N) {
	if n < 0 {
		c.AddFinding(field, "%d is negative", n)
	}
}

// checkModel reports a reference to a model that the document does not define.
func (c *checker) checkModel(field string, name wire.ModelName) {
	if c.models[name] == nil {
		c.AddFinding(field, "there is no model %q", name)
	}
}

// checkService reports a reference to a service that no endpoint kind serves.
func (c *checker) checkService(field string, name wire.ServiceName) {
	if !c.services[name] {
		c.AddFinding(field, "no endpoint kind serves a service %q", name)
	}
}

// elementPath returns the field path of a list's element, such as "Model[0]".
func elementPath(list string, i int) string {
	return fmt.Sprintf("%s[%d]", list, i)
}
