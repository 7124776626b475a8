package document

import (
	"fmt"
	"regexp"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

var nameShape = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// set holds where each name was seen first.
type set[K comparable] map[K]string

// checker walks a document and collects findings.
type checker struct {
	setting.Checks
	d        *Document
	models   map[wire.ModelName]*Model
	kinds    set[wire.EndpointKindName]
	services map[wire.ServiceName]bool
}

func check(d *Document, places *setting.Places) finding.List {
	c := &checker{
		Checks:   setting.Checks{Places: places},
		d:        d,
		models:   map[wire.ModelName]*Model{},
		kinds:    set[wire.EndpointKindName]{},
		services: map[wire.ServiceName]bool{},
	}
	c.collect()
	c.checkModels()
	c.checkKinds()
	c.checkFleets()
	c.checkRoutes()
	c.checkWorkspaces()
	return c.List
}

// collect notes what references may name; of doubled models the first counts.
func (c *checker) collect() {
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

// checkName demands a name that is safe in paths and keys.
func (c *checker) checkName(field, name string) {
	switch {
	case name == "":
		c.Fail(field, "is missing")
	case name == "." || name == "..":
		c.Fail(field, "%q cannot be a name", name)
	case !nameShape.MatchString(name):
		c.Fail(field, "%q may hold only letters, digits, '-', '_' and '.'", name)
	}
}

// checkOnce demands that a name was not seen before.
func checkOnce[K comparable](c *checker, seen set[K], field string, name K) {
	var zero K
	if name == zero {
		return
	}
	if first, ok := seen[name]; ok {
		c.Fail(field, "%v is already at %s", name, first)
		return
	}
	seen[name] = field
}

// checkNotNegative demands a number of at least zero.
func checkNotNegative[N ~int](c *checker, field string, n N) {
	if n < 0 {
		c.Fail(field, "%d is negative", n)
	}
}

// checkModel demands that a named model exists.
func (c *checker) checkModel(field string, name wire.ModelName) {
	if c.models[name] == nil {
		c.Fail(field, "there is no model %q", name)
	}
}

// checkService demands that some endpoint kind serves a service.
func (c *checker) checkService(field string, name wire.ServiceName) {
	if !c.services[name] {
		c.Fail(field, "no endpoint kind serves a service %q", name)
	}
}

func at(list string, i int) string {
	return fmt.Sprintf("%s[%d]", list, i)
}
